#include "teaseldrift/relay/fleet_state.hpp"

#include <algorithm>
#include <bit>
#include <iterator>
#include <optional>
#include <span>
#include <utility>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::relay {

using telemetry::EventPriority;

namespace {

/// Minimum number of addresses given to a caller, and of those in other availability zones.
constexpr size_t minAddresses = 3;
constexpr size_t minOtherZoneAddresses = 1;

/// Longer than the time for which a limiter counts a VM that has left the list.
constexpr Duration unlistedPeerLifetime = 15s;

/// Rendezvous score among the VMs whose links differ by less than a factor of two; all of them come
/// before those with slower links.
double representativeScore(uint64_t key, std::string_view vmId, uint32_t linkMbps)
{
    const double score = rendezvousScore(key, vmId);
    return static_cast<double>(std::bit_width(linkMbps)) + score / (1.0 + score);
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
    : m_options(std::move(options)), m_log(log),
      m_configurationFreshness(m_options.configurationApplyTime),
      m_targetSelector(
              {.availabilityZone = m_options.availabilityZone,
               .speed = {.isAlwaysMeasured = m_options.hasUnevenTargets},
               .health = {.isTriedByRequests = true, .spreadKey = rendezvousKey(m_options.vmId)}}),
      m_targetPaths(m_options.availabilityZone), m_retryBudgets(m_options.retryLimits),
      m_targetLimiter({.vmId = m_options.vmId,
                       .slack = m_options.targetLimitSlack,
                       .overrun = m_options.targetLimitOverrun,
                       .window = m_options.targetLimitWindow,
                       .minVmCount = m_options.minVmCount,
                       .settlingTime = m_options.settlingTime,
                       .spreadsRefusals = true},
                      now),
      m_concurrencyOwnership({.vmId = m_options.vmId,
                              .window = m_options.targetLimitWindow,
                              .minVmCount = m_options.minVmCount,
                              .settlingTime = m_options.settlingTime},
                             now),
      m_usage({.vmId = m_options.vmId,
               .slack = m_options.usageSlack,
               .overrun = m_options.usageOverrun,
               .window = m_options.usageWindow,
               .minVmCount = m_options.minVmCount,
               .settlingTime = m_options.settlingTime},
              now)
{ }

void FleetState::applyDefinition(FleetDefinition definition,
                                 const std::map<std::string, double, std::less<>> &importRates,
                                 Instant now)
{
    if (m_table != nullptr && definition.version <= m_table->definition().version) {
        return;
    }
    const uint64_t before = m_table == nullptr ? 0 : m_table->definition().version;
    const std::string scopeBefore
            = m_table == nullptr ? std::string() : m_table->cacheScopes().shared();
    m_table = std::make_shared<const RouteTable>(std::move(definition));
    m_configurationFreshness.applied(m_table->definition().version);
    const std::string &scope = m_table->cacheScopes().shared();
    if (!scopeBefore.empty() && scope != scopeBefore) {
        m_targetSelector.clearCaches();
    }
    const FleetDefinition &current = m_table->definition();
    for (const Service &service : current.services) {
        const auto rate = importRates.find(service.name);
        m_targetSelector.setService(service, rate == importRates.end() ? 0.0 : rate->second);
    }
    const Service *cacheStore = m_table->cacheStore();
    m_targetSelector.setCacheStore(cacheStore == nullptr ? std::string_view()
                                                         : cacheStore->cacheStoreAddress,
                                   cacheStore == nullptr ? 0 : cacheStore->cacheTokens);
    m_retryBudgets.setServices(current, now);
    std::vector<OrganisationLimit> limits;
    for (const Organisation &organisation : current.organisations) {
        limits.push_back({.organisation = organisation.name,
                          .unitsPerSecond = organisation.unitsPerSecond,
                          .burst = organisation.burst});
    }
    m_usage.setLimits(limits, now);
    divideLimits(now);
    m_log.write(EventPriority::Important, "configuration_applied",
                {{"version", static_cast<int64_t>(current.version)},
                 {"before", static_cast<int64_t>(before)},
                 {"routes", static_cast<int64_t>(current.routes.size())},
                 {"organisations", static_cast<int64_t>(current.organisations.size())},
                 {"cache_scope", std::string_view(scope)}});
}

void FleetState::logTarget(const TargetEntry &entry, TargetChange change)
{
    if (change == TargetChange::None) {
        return;
    }
    m_log.write(EventPriority::Important, "target",
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
    const TargetEntry *known = m_directory.find(entry.id);
    if (known == nullptr) {
        // An outdated registration of a target that is gone.
        return;
    }
    const TargetEntry &target = *known;
    m_targetSelector.update(target, change, now);
    if (change == TargetChange::Restarted) {
        keepStatements(target, now);
    }
    m_isConcurrencyOutdated = m_isConcurrencyOutdated || change != TargetChange::None;
    logTarget(target, change);
}

void FleetState::removeTarget(std::string_view id, Instant now)
{
    const TargetEntry *known = m_directory.find(id);
    if (known == nullptr) {
        return;
    }
    const TargetEntry entry = *known;
    const TargetChange change = m_directory.remove(id, now);
    m_isConcurrencyOutdated = true;
    if (change == TargetChange::Removed) {
        removeLimits(entry.id, now);
        m_targetSelector.remove(entry.id);
    } else if (change == TargetChange::Lapsed) {
        m_targetSelector.update(entry, change, now);
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

void FleetState::setDesiredWeights(std::string_view model, uint64_t version, Duration age,
                                   ChangeTimeSource source, Instant now)
{
    DesiredWeightsHistory &history = m_desiredWeights[std::string(model)];
    const std::optional<Instant> before = history.changedAt(version);
    const uint64_t settled = history.newestSettled(now, m_options.olderWeightsGracePeriod);
    if (version < settled || !history.add(version, now - age, source, now)) {
        return;
    }
    m_weightRollout.setDesiredVersion(model, version);
    history.dropOlderThan(settled);
    // Each VM observes the change a little earlier or later; only a correction that matters is
    // logged.
    constexpr Duration loggedCorrection = 200ms;
    const std::optional<Instant> known = history.changedAt(version);
    const Instant changedAt = known.value_or(now);
    if (!before || changedAt < *before - loggedCorrection
        || changedAt > *before + loggedCorrection) {
        m_log.write(EventPriority::Important, "weights_named",
                    {{"model", model},
                     {"version", static_cast<int64_t>(version)},
                     {"age_ms", known ? toMs(now - changedAt) : -1.0},
                     {"source", name(source)},
                     {"oldest_allowed", static_cast<int64_t>(minWeights(model, now))}});
    }
}

void FleetState::setPreviousWeights(std::string_view model, uint64_t version, uint64_t previous)
{
    const auto found = m_desiredWeights.find(model);
    if (found != m_desiredWeights.end()) {
        found->second.setPrevious(version, previous);
    }
}

std::vector<DesiredWeights> FleetState::knownDesiredWeights(std::string_view model) const
{
    const auto found = m_desiredWeights.find(model);
    return found == m_desiredWeights.end() ? std::vector<DesiredWeights>() : found->second.known();
}

Duration FleetState::desiredWeightsAge(std::string_view model, uint64_t version, Instant now) const
{
    const auto found = m_desiredWeights.find(model);
    if (found == m_desiredWeights.end()) {
        return Duration(0);
    }
    return now - found->second.changedAt(version).value_or(now);
}

std::map<std::string, std::vector<DesiredWeights>> FleetState::observedDesiredWeights() const
{
    std::map<std::string, std::vector<DesiredWeights>> observed;
    for (const std::pair<const std::string, DesiredWeightsHistory> &model : m_desiredWeights) {
        observed.emplace(model.first, model.second.observed());
    }
    return observed;
}

uint64_t FleetState::minWeights(std::string_view model, Instant now) const
{
    // Covers the network delay to the target and an ordinary wait in its queue. A request that
    // waits for longer is withdrawn, see StartDeadline.
    constexpr Duration margin = 1500ms;
    const auto found = m_desiredWeights.find(model);
    return found == m_desiredWeights.end()
                   ? 0
                   : found->second.minVersion(now, m_options.olderWeightsGracePeriod - margin);
}

std::optional<Instant> FleetState::latestStart(std::string_view model, uint64_t version) const
{
    const auto found = m_desiredWeights.find(model);
    return found == m_desiredWeights.end()
                   ? std::nullopt
                   : found->second.latestStart(version, m_options.olderWeightsGracePeriod);
}

void FleetState::updateLoadedWeights(std::string_view target, std::string_view model,
                                     uint64_t version)
{
    m_directory.setWeights(target, model, version);
}

void FleetState::applyRolloutPlan(const RolloutPlan &plan, Instant announcedAt)
{
    if (!m_targetSelector.setRolloutPlan(plan, announcedAt)) {
        return;
    }
    for (const std::pair<const std::string, TargetEntry> &target : m_directory.all()) {
        const auto weights = target.second.weights.find(plan.model);
        const uint32_t key = targetKeyOf(target.first);
        const bool isLoaded
                = std::find(plan.loaded.begin(), plan.loaded.end(), key) != plan.loaded.end();
        if (isLoaded && weights != target.second.weights.end() && weights->second < plan.version) {
            updateLoadedWeights(target.first, plan.model, plan.version);
        }
    }
}

void FleetState::applyVms(std::map<std::string, schema::VmRecord, std::less<>> vms, Instant readAt,
                          Instant now)
{
    for (const std::pair<const std::string, schema::VmRecord> &vm : m_vms) {
        if (!vms.contains(vm.first)) {
            setPeerAddress(vm.first, vm.second.peer_address(), now);
        }
    }
    std::erase_if(m_unlistedPeers, [now](const std::pair<const std::string, UnlistedPeer> &peer) {
        return now - peer.second.knownAt > unlistedPeerLifetime;
    });
    m_vms = std::move(vms);
    std::vector<UsageVm> list;
    for (const std::pair<const std::string, schema::VmRecord> &vm : m_vms) {
        list.push_back({.id = vm.first, .isLeaving = vm.second.is_leaving()});
    }
    m_targetSelector.health().setSenders(std::max<size_t>(list.size(), 1));
    m_usage.setVms(list, readAt, now);
    m_targetLimiter.setVms(list, readAt, now);
    m_concurrencyOwnership.setVms(list, readAt, now);
    divideLimits(now);
}

std::string FleetState::peerAddress(std::string_view vmId) const
{
    if (const schema::VmRecord *vm = findVm(vmId)) {
        return vm->peer_address();
    }
    const auto found = m_unlistedPeers.find(vmId);
    return found == m_unlistedPeers.end() ? std::string() : found->second.address;
}

void FleetState::setPeerAddress(std::string_view vmId, std::string_view address, Instant now)
{
    m_unlistedPeers.insert_or_assign(std::string(vmId),
                                     UnlistedPeer{.address = std::string(address), .knownAt = now});
}

void FleetState::setLeaving(Instant now)
{
    m_isLeaving = true;
    m_usage.setLeaving(now);
    m_targetLimiter.setLeaving(now);
    m_concurrencyOwnership.setLeaving(now);
}

void FleetState::storeLost(Instant now)
{
    m_isStoreConnected = false;
    m_directory.storeLost(now);
    m_log.write(EventPriority::Important, "dependency_lost", {{"dependency", "store"}});
}

void FleetState::storeRegained(Instant now)
{
    m_isStoreConnected = true;
    m_storeConnectedAt = now;
    m_directory.storeRegained(now);
    m_log.write(EventPriority::Important, "dependency_regained", {{"dependency", "store"}});
}

void FleetState::storeRestored(Instant now)
{
    m_directory.storeRestored(now);
}

void FleetState::tick(Instant now)
{
    for (const std::string &id : m_directory.expire(now)) {
        removeLimits(id, now);
        m_targetSelector.remove(id);
        m_log.write(EventPriority::Important, "target",
                    {{"target", std::string_view(id)}, {"change", "gone_after_outage"}});
    }
    m_usage.tick(now);
    m_targetLimiter.tick(now);
    updateConcurrencyOwnership(now);
    m_concurrencyOwnership.tick(now);
    divideLimits(now);
    logQuarantine(now);
}

bool FleetState::liftQuarantine(std::string_view model, uint64_t segment, Instant now)
{
    const bool isLifted = m_quarantine.lift(model, segment, now);
    const std::string id = segmentIds(std::span(&segment, 1));
    m_log.write(EventPriority::Important, "quarantine_lifted",
                {{"model", model}, {"segment", std::string_view(id)}, {"was_suspected", isLifted}});
    return isLifted;
}

void FleetState::logInvalidRecord(std::string_view key)
{
    m_log.write(EventPriority::Important, "record_invalid", {{"key", key}});
}

void FleetState::logQuarantine(Instant now)
{
    for (const QuarantineChange &change : m_quarantine.takeChanges(now)) {
        const QuarantinedSegments &quarantined = change.segments;
        const std::string segments = segmentIds(quarantined.segments);
        std::string targets;
        for (const std::string &target : quarantined.targets) {
            targets += (targets.empty() ? "" : ",") + target;
        }
        m_log.write(EventPriority::Important,
                    change.isQuarantined ? "segments_quarantined" : "segments_released",
                    {{"model", std::string_view(quarantined.model)},
                     {"segments", std::string_view(segments)},
                     {"crashes", static_cast<int64_t>(quarantined.crashes)},
                     {"targets", std::string_view(targets)},
                     {"last_crash_age_ms", toMs(now - quarantined.lastCrashAt)},
                     {"trial_in_ms", toMs(quarantined.trialFrom - now)}});
    }
}

void FleetState::divideLimits(Instant now)
{
    const size_t vms = m_usage.vmCount();
    if (hasVmList()) {
        m_retryBudgets.setVmCount(vms, now);
    }
    if (m_table == nullptr || vms == m_limitDivisor) {
        return;
    }
    m_limitDivisor = vms;
    m_log.write(EventPriority::Important, "usage_divided", {{"vms", static_cast<int64_t>(vms)}});
}

const schema::VmRecord *FleetState::findVm(std::string_view vmId) const
{
    const auto found = m_vms.find(vmId);
    return found == m_vms.end() ? nullptr : &found->second;
}

const schema::VmRecord *
FleetState::highestScore(double localScore,
                         const std::function<double(const schema::VmRecord &)> &scoreOf) const
{
    const schema::VmRecord *first = nullptr;
    double best = localScore;
    for (const std::pair<const std::string, schema::VmRecord> &vm : m_vms) {
        if (vm.first == m_options.vmId || vm.second.is_leaving()) {
            continue;
        }
        const double score = scoreOf(vm.second);
        if (score > best) {
            best = score;
            first = &vm.second;
        }
    }
    return first;
}

double FleetState::localScore(uint64_t key) const
{
    return m_isLeaving ? 0.0 : rendezvousScore(key, m_options.vmId);
}

const schema::VmRecord *FleetState::cachePoller(std::string_view cache) const
{
    const uint64_t key = rendezvousKey(cache);
    return highestScore(localScore(key), [&](const schema::VmRecord &vm) {
        return vm.availability_zone() == m_options.availabilityZone
                       ? rendezvousScore(key, vm.vm_id())
                       : 0.0;
    });
}

const schema::VmRecord *
FleetState::zoneRepresentative(std::string_view availabilityZone,
                               const std::function<bool(const std::string &)> &isExcluded) const
{
    const uint64_t key = rendezvousKey(availabilityZone);
    const bool isCandidate = availabilityZone == m_options.availabilityZone && !m_isLeaving;
    return highestScore(
            isCandidate ? representativeScore(key, m_options.vmId, m_options.linkMbps) : 0.0,
            [&](const schema::VmRecord &vm) {
                return vm.availability_zone() == availabilityZone && !isExcluded(vm.vm_id())
                               ? representativeScore(key, vm.vm_id(), vm.link_mbps())
                               : 0.0;
            });
}

bool FleetState::isAmongFirst(std::string_view key, size_t count) const
{
    const uint64_t hash = rendezvousKey(key);
    const double local = localScore(hash);
    const ptrdiff_t preceding
            = std::count_if(m_vms.begin(), m_vms.end(),
                            [&](const std::pair<const std::string, schema::VmRecord> &vm) {
                                return vm.first != m_options.vmId && !vm.second.is_leaving()
                                       && rendezvousScore(hash, vm.first) > local;
                            });
    return static_cast<size_t>(preceding) < count;
}

bool FleetState::isStoreConnectedSince(Instant since) const
{
    return m_isStoreConnected && m_storeConnectedAt <= since;
}

std::set<std::string> FleetState::otherZones() const
{
    std::set<std::string> zones;
    for (const std::pair<const std::string, schema::VmRecord> &vm : m_vms) {
        if (!vm.second.is_leaving()) {
            zones.insert(vm.second.availability_zone());
        }
    }
    zones.erase(m_options.availabilityZone);
    return zones;
}

size_t FleetState::rank() const
{
    return static_cast<size_t>(std::distance(m_vms.begin(), m_vms.lower_bound(m_options.vmId)));
}

std::vector<std::string> FleetState::callerAddresses(std::string_view availabilityZone) const
{
    std::vector<std::string> sameZone;
    std::vector<std::string> otherZones;
    const auto add = [&](const std::string &zone, const std::string &address) {
        (zone == availabilityZone ? sameZone : otherZones).push_back(address);
    };
    if (!m_isLeaving) {
        add(m_options.availabilityZone, m_options.callerAddress);
    }
    for (const std::pair<const std::string, schema::VmRecord> &vm : m_vms) {
        if (vm.first != m_options.vmId && !vm.second.is_leaving()) {
            add(vm.second.availability_zone(), vm.second.caller_address());
        }
    }
    // Each VM starts at a different offset, so that the VMs of other zones share the callers of
    // this zone.
    const size_t wanted = std::max(minOtherZoneAddresses,
                                   minAddresses - std::min(minAddresses, sameZone.size()));
    const size_t first = otherZones.empty() ? 0 : rank() % otherZones.size();
    for (size_t i = 0; i < std::min(wanted, otherZones.size()); ++i) {
        sameZone.push_back(otherZones[(first + i) % otherZones.size()]);
    }
    return sameZone;
}

} // namespace teaseldrift::relay
