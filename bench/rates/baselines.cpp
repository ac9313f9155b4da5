#include <algorithm>
#include <numeric>

#include "policies.hpp"

namespace teaseldrift::rates {

namespace {

constexpr Duration leaseTime = 10s;
constexpr Duration leaseRenewal = 5s;
/// Fraction of each organisation's rate that is divided equally, whatever the demand.
constexpr double leaseFloor = 0.1;

std::vector<std::vector<Bucket>> emptyBuckets(const Fleet &fleet)
{
    std::vector<Bucket> one(fleet.scenario.vms);
    return std::vector<std::vector<Bucket>>(fleet.scenario.organisations.size(), one);
}

/// Returns the home that decides about a request: its own VM if that is a home, otherwise the first
/// home that is up.
std::optional<size_t> deciderFor(const Fleet &fleet, const Request &request)
{
    const std::vector<size_t> homes = fleet.homesOf(request.organisation);
    if (std::find(homes.begin(), homes.end(), request.vm) != homes.end()) {
        return request.vm;
    }
    for (const size_t home : homes) {
        if (fleet.up[home]) {
            return home;
        }
    }
    return std::nullopt;
}

void countDecisionMessages(Fleet &fleet, const Request &request, size_t decider)
{
    if (decider != request.vm) {
        fleet.cost.messages += 2;
    }
}

} // namespace

void Bucket::set(const Limits &limits, double share, Instant now)
{
    refill(now);
    m_limits = {.rate = static_cast<MicroTokens>(static_cast<double>(limits.rate) * share),
                .burst = static_cast<MicroTokens>(static_cast<double>(limits.burst) * share)};
    m_level = std::min(m_level, m_limits.burst);
    m_at = now;
}

void Bucket::refill(Instant now)
{
    m_level = std::min(
            m_limits.burst,
            m_level + allowance::accruedTokens(m_limits, allowance::wholeShare, now - m_at));
    m_at = now;
}

bool Bucket::tryAcquire(MicroTokens tokens, Instant now)
{
    refill(now);
    if (m_level < tokens) {
        return false;
    }
    m_level -= tokens;
    return true;
}

void Bucket::refund(MicroTokens tokens, Instant now)
{
    refill(now);
    m_level = std::min(m_limits.burst, m_level + tokens);
}

void Bucket::clear(Instant now)
{
    m_level = 0;
    m_at = now;
}

StaticEqual::StaticEqual(Fleet &fleet) : m_fleet(fleet), m_buckets(emptyBuckets(fleet))
{
    divide();
}

void StaticEqual::divide()
{
    const Instant now = m_fleet.timeline.now();
    for (size_t organisation = 0; organisation < m_buckets.size(); ++organisation) {
        const std::vector<size_t> homes = m_fleet.homesOf(organisation);
        const Limits &limits = m_fleet.scenario.organisations[organisation].limits;
        for (size_t vm = 0; vm < m_fleet.scenario.vms; ++vm) {
            const bool isHome = std::find(homes.begin(), homes.end(), vm) != homes.end();
            const double share = isHome ? 1.0 / static_cast<double>(homes.size()) : 0.0;
            m_buckets[organisation][vm].set(limits, share, now);
        }
    }
}

void StaticEqual::admit(size_t index)
{
    const Request &request = m_fleet.requests[index];
    m_decidedBy.resize(m_fleet.requests.size());
    const std::optional<size_t> decider = deciderFor(m_fleet, request);
    const Instant now = m_fleet.timeline.now();
    if (!decider.has_value()) {
        return m_fleet.decide(index, false, now);
    }
    countDecisionMessages(m_fleet, request, *decider);
    m_decidedBy[index] = *decider;
    Bucket &bucket = m_buckets[request.organisation][*decider];
    m_fleet.decide(index, bucket.tryAcquire(request.cost, now), now);
}

void StaticEqual::finish(size_t index)
{
    const Request &request = m_fleet.requests[index];
    m_buckets[request.organisation][m_decidedBy[index]].refund(request.unused,
                                                               m_fleet.timeline.now());
}

void StaticEqual::crash(size_t vm)
{
    for (std::vector<Bucket> &buckets : m_buckets) {
        buckets[vm].clear(m_fleet.timeline.now());
    }
}

OneAuthority::OneAuthority(Fleet &fleet)
    : m_fleet(fleet), m_buckets(fleet.scenario.organisations.size()),
      m_authority(fleet.scenario.organisations.size())
{
    for (size_t organisation = 0; organisation < m_buckets.size(); ++organisation) {
        m_buckets[organisation].set(fleet.scenario.organisations[organisation].limits, 1.0,
                                    fleet.timeline.now());
        m_authority[organisation] = fleet.homesOf(organisation).front();
    }
}

void OneAuthority::admit(size_t index)
{
    const Request &request = m_fleet.requests[index];
    const size_t authority = m_authority[request.organisation];
    countDecisionMessages(m_fleet, request, authority);
    const Instant now = m_fleet.timeline.now();
    const bool admitted = m_fleet.up[authority]
                          && m_buckets[request.organisation].tryAcquire(request.cost, now);
    m_fleet.decide(index, admitted, now);
}

void OneAuthority::finish(size_t index)
{
    const Request &request = m_fleet.requests[index];
    countDecisionMessages(m_fleet, request, m_authority[request.organisation]);
    m_buckets[request.organisation].refund(request.unused, m_fleet.timeline.now());
}

void OneAuthority::crash(size_t vm)
{
    for (size_t organisation = 0; organisation < m_buckets.size(); ++organisation) {
        if (m_authority[organisation] == vm) {
            m_buckets[organisation].clear(m_fleet.timeline.now());
        }
    }
}

void OneAuthority::onVmList()
{
    for (size_t organisation = 0; organisation < m_buckets.size(); ++organisation) {
        if (!m_fleet.listed[m_authority[organisation]] && !m_fleet.storeDown) {
            m_authority[organisation] = m_fleet.homesOf(organisation).front();
            m_buckets[organisation].clear(m_fleet.timeline.now());
            m_fleet.cost.storeCalls += 2;
        }
    }
}

LeasesOnly::LeasesOnly(Fleet &fleet)
    : m_fleet(fleet), m_buckets(emptyBuckets(fleet)),
      m_demand(fleet.scenario.organisations.size(), std::vector<double>(fleet.scenario.vms, 0.0))
{
    renew();
}

void LeasesOnly::renew()
{
    m_fleet.timeline.after(leaseRenewal, [this] { renew(); });
    const Instant now = m_fleet.timeline.now();
    if (m_fleet.storeDown) {
        // No renewal is possible, so the leases expire leaseTime after the previous one.
        m_fleet.timeline.after(leaseTime - leaseRenewal, [this] {
            for (std::vector<Bucket> &buckets : m_buckets) {
                for (Bucket &bucket : buckets) {
                    bucket.set({}, 0.0, m_fleet.timeline.now());
                }
            }
        });
        return;
    }
    for (size_t organisation = 0; organisation < m_buckets.size(); ++organisation) {
        const std::vector<size_t> homes = m_fleet.homesOf(organisation);
        std::vector<double> &demand = m_demand[organisation];
        double sum = 0.0;
        for (const size_t home : homes) {
            sum += demand[home];
        }
        const double equal = 1.0 / static_cast<double>(homes.size());
        const Limits &limits = m_fleet.scenario.organisations[organisation].limits;
        for (size_t vm = 0; vm < m_fleet.scenario.vms; ++vm) {
            const bool isHome = std::find(homes.begin(), homes.end(), vm) != homes.end();
            const double byDemand = sum > 0.0 ? demand[vm] / sum : equal;
            const double share = leaseFloor * equal + (1.0 - leaseFloor) * byDemand;
            m_buckets[organisation][vm].set(limits, isHome ? share : 0.0, now);
            m_fleet.cost.storeCalls += isHome ? 1 : 0;
        }
        std::fill(demand.begin(), demand.end(), 0.0);
    }
}

void LeasesOnly::admit(size_t index)
{
    const Request &request = m_fleet.requests[index];
    m_decidedBy.resize(m_fleet.requests.size());
    const std::optional<size_t> decider = deciderFor(m_fleet, request);
    const Instant now = m_fleet.timeline.now();
    if (!decider.has_value()) {
        return m_fleet.decide(index, false, now);
    }
    countDecisionMessages(m_fleet, request, *decider);
    m_decidedBy[index] = *decider;
    m_demand[request.organisation][*decider] += static_cast<double>(request.cost);
    Bucket &bucket = m_buckets[request.organisation][*decider];
    m_fleet.decide(index, bucket.tryAcquire(request.cost, now), now);
}

void LeasesOnly::finish(size_t index)
{
    const Request &request = m_fleet.requests[index];
    m_buckets[request.organisation][m_decidedBy[index]].refund(request.unused,
                                                               m_fleet.timeline.now());
}

void LeasesOnly::crash(size_t vm)
{
    for (std::vector<Bucket> &buckets : m_buckets) {
        buckets[vm].clear(m_fleet.timeline.now());
    }
}

} // namespace teaseldrift::rates
