#include "teaseldrift/relay/fleet_state.hpp"

#include <algorithm>
#include <utility>

namespace teaseldrift::relay {

using telemetry::EventWeight;

namespace {

RetryBudgetOptions retryOptions(const FleetOptions &options)
{
    // Half of the ratio leaves room for retries whose requests were counted by another VM.
    constexpr double ratioPart = 0.5;
    const double floor = options.retrySlack / static_cast<double>(2 * options.leastVms);
    return {.ratio = options.retryRatio * ratioPart,
            .floor = floor,
            .capacity = 2.0 * floor,
            .streamReserve = floor / 2.0,
            .floorPerSecond = floor / toSeconds(options.retryWindow)};
}

std::string_view nameOf(TargetChange change)
{
    switch (change) {
    case TargetChange::Added:
        return "added";
    case TargetChange::Restarted:
        return "restarted";
    case TargetChange::Changed:
        return "changed";
    case TargetChange::Removed:
        return "removed";
    case TargetChange::Lapsed:
        return "lapsed";
    default:
        return "none";
    }
}

} // namespace

FleetState::FleetState(FleetOptions options, telemetry::EventLog &log, Instant now)
    : m_options(std::move(options)),
      m_log(log),
      m_startedAt(now),
      m_book({.availabilityZone = m_options.availabilityZone}),
      m_retryBudget(retryOptions(m_options))
{ }

void FleetState::applyDefinition(FleetDefinition definition,
                                 const std::map<std::string, double, std::less<>> &importRates,
                                 Instant now)
{
    if (m_table != nullptr && definition.version <= m_table->definition().version) {
        return;
    }
    const uint64_t before = m_table == nullptr ? 0 : m_table->definition().version;
    m_table = std::make_shared<const RouteTable>(std::move(definition));
    const FleetDefinition &current = m_table->definition();
    for (const Service &service : current.services) {
        const auto rate = importRates.find(service.name);
        m_book.setService(service, rate == importRates.end() ? 0.0 : rate->second);
    }
    const Service *cacheStore = m_table->cacheStore();
    m_book.setCacheStore(cacheStore == nullptr ? std::string_view() : cacheStore->cacheStoreAddress,
                         cacheStore == nullptr ? 0 : cacheStore->cacheTokens);
    divideUsage(now);
    m_log.write(EventWeight::Important, "configuration_applied",
                {{"version", static_cast<int64_t>(current.version)},
                 {"before", static_cast<int64_t>(before)},
                 {"routes", static_cast<int64_t>(current.routes.size())},
                 {"organisations", static_cast<int64_t>(current.organisations.size())}});
}

void FleetState::logTarget(const TargetEntry &entry, TargetChange change)
{
    if (change == TargetChange::None) {
        return;
    }
    m_log.write(EventWeight::Important, "target",
                {{"target", std::string_view(entry.id)},
                 {"change", nameOf(change)},
                 {"service", std::string_view(entry.service)},
                 {"address", std::string_view(entry.address)},
                 {"leaving", entry.isLeaving},
                 {"weights", static_cast<int64_t>(
                                     entry.weights.empty() ? 0 : entry.weights.begin()->second)}});
}

void FleetState::applyTarget(const TargetEntry &entry, Instant now)
{
    const TargetChange change = m_directory.put(entry);
    m_book.update(entry, change, now);
    logTarget(entry, change);
}

void FleetState::removeTarget(std::string_view id, Instant now)
{
    const TargetEntry *known = m_directory.find(id);
    if (known == nullptr) {
        return;
    }
    const TargetEntry entry = *known;
    const TargetChange change = m_directory.remove(id, now);
    if (change == TargetChange::Removed) {
        m_book.remove(entry.id);
    }
    logTarget(entry, change);
}

void FleetState::applyAllTargets(const std::map<std::string, TargetEntry, std::less<>> &entries,
                                 Instant now)
{
    for (const std::string &id : m_directory.missingFrom(entries)) {
        removeTarget(id, now);
    }
    for (const std::pair<const std::string, TargetEntry> &entry : entries) {
        applyTarget(entry.second, now);
    }
}

void FleetState::nameWeights(std::string_view model, uint64_t version, bool isNews, Instant now)
{
    if (!m_weights.setWanted(model, version)) {
        return;
    }
    // A name found by a first read may have been given just before, or long ago.
    const Duration age = isNews ? Duration(0) : m_options.weightsBound / 2;
    m_namedWeights[std::string(model)].push_back({.version = version, .namedAt = now - age});
    m_log.write(EventWeight::Important, "weights_named",
                {{"model", model}, {"version", static_cast<int64_t>(version)}});
}

uint64_t FleetState::minWeights(std::string_view model, Instant now) const
{
    // Leaves time for the request's way to the target.
    constexpr Duration margin = 400ms;
    const auto found = m_namedWeights.find(model);
    if (found == m_namedWeights.end()) {
        return 0;
    }
    uint64_t least = 0;
    for (const NamedWeights &named : found->second) {
        if (now - named.namedAt + margin > m_options.weightsBound) {
            least = named.version;
        }
    }
    return least;
}

void FleetState::sawWeights(std::string_view target, std::string_view model, uint64_t version)
{
    m_directory.setWeights(target, model, version);
}

void FleetState::applyVms(std::map<std::string, schema::VmRecord, std::less<>> vms, Instant now)
{
    m_vms = std::move(vms);
    divideUsage(now);
}

void FleetState::storeLost(Instant now)
{
    m_directory.storeLost(now);
    m_log.write(EventWeight::Important, "dependency_lost", {{"dependency", "store"}});
}

void FleetState::storeRegained(Instant now)
{
    m_directory.storeRegained(now);
    m_log.write(EventWeight::Important, "dependency_regained", {{"dependency", "store"}});
}

void FleetState::tick(Instant now)
{
    for (const std::string &id : m_directory.expire(now)) {
        m_book.remove(id);
        m_log.write(EventWeight::Important, "target",
                    {{"target", std::string_view(id)}, {"change", "gone_after_outage"}});
    }
    divideUsage(now);
}

void FleetState::divideUsage(Instant now)
{
    if (m_table == nullptr) {
        return;
    }
    size_t vms = std::max<size_t>(1, m_vms.size() + (m_vms.contains(m_options.vmId) ? 0 : 1));
    if (now - m_startedAt < m_options.settlingTime) {
        vms = std::max(vms, m_options.leastVms);
    }
    const double share = 1.0 / static_cast<double>(vms);
    for (const Organisation &organisation : m_table->definition().organisations) {
        m_usage[organisation.name].setLimit(
                {.unitsPerSecond = organisation.unitsPerSecond, .burst = organisation.burst}, share,
                now);
    }
    if (vms != m_dividedBy) {
        m_dividedBy = vms;
        m_log.write(EventWeight::Important, "usage_divided",
                    {{"vms", static_cast<int64_t>(vms)}});
    }
}

std::vector<std::string> FleetState::callerAddresses() const
{
    std::vector<std::string> addresses;
    if (!m_isLeaving) {
        addresses.push_back(m_options.callerAddress);
    }
    for (const std::pair<const std::string, schema::VmRecord> &vm : m_vms) {
        if (vm.first != m_options.vmId && !vm.second.is_leaving()) {
            addresses.push_back(vm.second.caller_address());
        }
    }
    return addresses;
}

} // namespace teaseldrift::relay
