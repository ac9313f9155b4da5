#include "teaseldrift/rollout/version_split.hpp"

#include <algorithm>
#include <tuple>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

namespace {

bool contains(const std::vector<uint32_t> &keys, uint32_t key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

} // namespace

bool RolloutAnnouncement::supersedes(const RolloutAnnouncement &other) const
{
    // The end of a rollout is final: a leader that has not learned it cannot resume the rollout.
    const bool isFinal = state != RolloutState::Running;
    const bool isOtherFinal = other.state != RolloutState::Running;
    if (order.number == other.order.number && isFinal != isOtherFinal) {
        return isFinal;
    }
    return std::tie(order.number, fencing, sequence)
           > std::tie(other.order.number, other.fencing, other.sequence);
}

bool RolloutAnnouncement::hasSameContent(const RolloutAnnouncement &other) const
{
    return order.number == other.order.number && order.version == other.order.version
           && state == other.state && share == other.share && targets == other.targets
           && avoided == other.avoided && fullFrom == other.fullFrom;
}

bool VersionRule::allows(std::string_view softwareVersion, uint32_t targetKey) const
{
    switch (kind) {
    case Kind::Any:
        return true;
    case Kind::Exclude:
        return softwareVersion != version;
    case Kind::Require:
        return softwareVersion == version && !contains(avoided, targetKey)
               && (targets.empty() || contains(targets, targetKey));
    }
    return true;
}

/// A random part of a credit, so that the first requests of the VMs are spread over time.
double VersionSplit::initialCredit(const RolloutOrder &order, std::string_view route) const
{
    constexpr uint64_t resolution = 1U << 20U;
    std::string key = order.service + '/' + std::to_string(order.number) + '/'
                      + std::to_string(m_options.seed) + '/';
    key += route;
    return static_cast<double>(rendezvousKey(key) % resolution) / static_cast<double>(resolution);
}

void VersionSplit::begin(State &state, const RolloutOrder &order) const
{
    state = {.order = order, .credit = initialCredit(order, "")};
}

void VersionSplit::setOrder(const RolloutOrder &order)
{
    State &state = m_services[order.service];
    if (order.number > state.order.number) {
        begin(state, order);
    }
}

bool VersionSplit::apply(const RolloutAnnouncement &announcement, Instant announcedAt)
{
    State &state = m_services[announcement.order.service];
    if (announcement.order.number < state.order.number) {
        return false;
    }
    if (announcement.order.number > state.order.number) {
        begin(state, announcement.order);
    }
    if (!state.announced || announcement.supersedes(state.announced->announcement)) {
        state.announced = {.announcement = announcement, .announcedAt = announcedAt};
        return true;
    }
    if (!state.announced->announcement.supersedes(announcement)) {
        state.announced->announcedAt = std::max(state.announced->announcedAt, announcedAt);
    }
    return false;
}

bool VersionSplit::isFresh(const State &state, Instant now) const
{
    return state.announced && now - state.announced->announcedAt <= m_options.announcementMaxAge;
}

/// Whether the announcement gives all requests to the new version.
bool VersionSplit::isFull(const State &state, Instant now)
{
    const RolloutAnnouncement &announcement = state.announced->announcement;
    return announcement.share >= 1.0 || (announcement.fullFrom && now >= *announcement.fullFrom);
}

VersionRule VersionSplit::ruleOf(const State &state, bool mayUseNew, Instant now) const
{
    VersionRule rule{.kind = VersionRule::Kind::Exclude, .version = state.order.version};
    if (!state.announced) {
        return rule;
    }
    const RolloutAnnouncement &announcement = state.announced->announcement;
    if (announcement.state == RolloutState::Completed) {
        rule.kind = VersionRule::Kind::Require;
    } else if (announcement.state == RolloutState::Running && mayUseNew && isFresh(state, now)) {
        rule.kind = VersionRule::Kind::Require;
        if (!isFull(state, now)) {
            rule.targets = announcement.targets;
        }
        rule.avoided = announcement.avoided;
    }
    return rule;
}

/// Factor of a route's share with which all routes get equal parts of the credit, except those
/// whose factor is limited; the others get what those leave.
double VersionSplit::routeFactor(const State &state, const RouteCredit &route) const
{
    const double prior = m_options.routePriorRequests;
    const auto routes = static_cast<double>(state.routes.size());
    const double total = state.requests + prior * routes;
    const double most = m_options.maxRouteFactor;
    double left = 1.0;
    double others = routes;
    for (const std::pair<const std::string, RouteCredit> &entry : state.routes) {
        const double part = (entry.second.requests + prior) / total;
        if (part * most * routes < 1.0) {
            left -= part * most;
            others -= 1.0;
        }
    }
    const double part = (route.requests + prior) / total;
    return part * most * routes < 1.0 ? most : std::min(most, left / others / part);
}

/// Adds a request's credit and spends one for it if there is enough.
bool VersionSplit::takeCredit(State &state, std::string_view route) const
{
    auto found = state.routes.find(route);
    if (found == state.routes.end()) {
        const RouteCredit initial{.credit = initialCredit(state.order, route)};
        found = state.routes.emplace(std::string(route), initial).first;
    }
    RouteCredit &own = found->second;
    own.requests += 1.0;
    state.requests += 1.0;
    const double share = state.announced->announcement.share;
    own.credit = std::min(1.0, own.credit + share * routeFactor(state, own));
    state.credit = std::min(1.0, state.credit + share);
    if (own.credit < 1.0 || state.credit < 0.0) {
        return false;
    }
    own.credit -= 1.0;
    state.credit -= 1.0;
    return true;
}

VersionRule VersionSplit::next(std::string_view service, std::string_view route, Instant now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return {};
    }
    State &state = found->second;
    const bool mayUseNew = isFresh(state, now) && (isFull(state, now) || takeCredit(state, route));
    return ruleOf(state, mayUseNew, now);
}

VersionRule VersionSplit::withoutCredit(std::string_view service, Instant now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return {};
    }
    const State &state = found->second;
    const bool isOnlyNew = state.announced && isFull(state, now);
    return ruleOf(state, isOnlyNew, now);
}

const RolloutOrder *VersionSplit::order(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.order;
}

const AnnouncedRollout *VersionSplit::find(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || !found->second.announced ? nullptr
                                                                 : &*found->second.announced;
}

std::vector<AnnouncedRollout> VersionSplit::announcements(Instant now) const
{
    std::vector<AnnouncedRollout> all;
    for (const std::pair<const std::string, State> &service : m_services) {
        const State &state = service.second;
        if (state.announced
            && (state.announced->announcement.state != RolloutState::Running
                || isFresh(state, now))) {
            all.push_back(*state.announced);
        }
    }
    return all;
}

} // namespace teaseldrift
