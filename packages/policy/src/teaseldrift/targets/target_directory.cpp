#include "teaseldrift/targets/target_directory.hpp"

#include <utility>

namespace teaseldrift {

TargetDirectory::TargetDirectory(TargetDirectoryOptions options) : m_options(options) { }

bool TargetDirectory::isOutdated(const TargetEntry &entry) const
{
    const auto known = m_targets.find(entry.id);
    if (known != m_targets.end() && known->second.startedAtMs == entry.startedAtMs) {
        return entry.heartbeats < known->second.heartbeats;
    }
    const auto removal = m_removals.find(Incarnation(entry.id, entry.startedAtMs));
    return removal != m_removals.end() && removal->second != 0
           && entry.heartbeats <= removal->second;
}

void TargetDirectory::rememberRemoval(const TargetEntry &entry)
{
    Incarnation incarnation(entry.id, entry.startedAtMs);
    const bool isNew = m_removals.insert_or_assign(incarnation, entry.heartbeats).second;
    if (!isNew) {
        return;
    }
    m_removalOrder.push_back(std::move(incarnation));
    if (m_removalOrder.size() > m_options.maxRemovedIncarnations) {
        m_removals.erase(m_removalOrder.front());
        m_removalOrder.pop_front();
    }
}

TargetChange TargetDirectory::put(const TargetEntry &entry)
{
    if (entry.isLeaving) {
        rememberLeaving(entry.id, entry.startedAtMs);
    }
    if (isOutdated(entry)) {
        return TargetChange::None;
    }
    const auto known = m_targets.find(entry.id);
    const bool wasLeaving = known != m_targets.end() && known->second.isLeaving
                            && known->second.startedAtMs == entry.startedAtMs;
    const bool isLeaving
            = entry.isLeaving || wasLeaving || isKnownToLeave(entry.id, entry.startedAtMs);
    const bool wasLapsed = m_lapsed.erase(entry.id) > 0;
    if (known == m_targets.end()) {
        m_targets.emplace(entry.id, entry).first->second.isLeaving = isLeaving;
        rebuild();
        return TargetChange::Added;
    }
    TargetEntry &target = known->second;
    const bool restarted = target.startedAtMs != entry.startedAtMs;
    const bool changed = target.isLeaving != isLeaving || target.address != entry.address
                         || target.service != entry.service || target.weights != entry.weights;
    if (restarted) {
        rememberRemoval(target);
    }
    target = entry;
    target.isLeaving = isLeaving;
    if (restarted || changed || wasLapsed) {
        rebuild();
    }
    if (restarted) {
        return TargetChange::Restarted;
    }
    return changed ? TargetChange::Changed : TargetChange::None;
}

TargetChange TargetDirectory::remove(std::string_view id, Instant now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return TargetChange::None;
    }
    if (!known->second.isLeaving && isInGrace(now)) {
        std::optional<Instant> &expiresAt = m_lapsed[known->first];
        if (!m_isStoreUnavailable && !expiresAt) {
            expiresAt = *m_storeRecoveredAt + m_options.lapseGrace;
        }
        return TargetChange::Lapsed;
    }
    m_lapsed.erase(known->first);
    rememberRemoval(known->second);
    m_targets.erase(known);
    rebuild();
    return TargetChange::Removed;
}

bool TargetDirectory::isInGrace(Instant now) const
{
    return m_isStoreUnavailable
           || (m_storeRecoveredAt && now < *m_storeRecoveredAt + m_options.lapseGrace);
}

TargetChange TargetDirectory::markLeaving(std::string_view id, uint64_t startedAtMs)
{
    const auto known = m_targets.find(id);
    if (known != m_targets.end() && known->second.startedAtMs != startedAtMs) {
        return TargetChange::None;
    }
    rememberLeaving(id, startedAtMs);
    if (known == m_targets.end() || known->second.isLeaving) {
        return TargetChange::None;
    }
    known->second.isLeaving = true;
    rebuild();
    return TargetChange::Changed;
}

void TargetDirectory::rememberLeaving(std::string_view id, uint64_t startedAtMs)
{
    const auto known = m_leaving.find(id);
    if (known != m_leaving.end()) {
        known->second = startedAtMs;
        return;
    }
    m_leaving.emplace(id, startedAtMs);
    m_leavingOrder.emplace_back(id);
    if (m_leavingOrder.size() > m_options.maxLeavingIncarnations) {
        m_leaving.erase(m_leavingOrder.front());
        m_leavingOrder.pop_front();
    }
}

bool TargetDirectory::isKnownToLeave(std::string_view id, uint64_t startedAtMs) const
{
    const auto known = m_leaving.find(id);
    return known != m_leaving.end() && known->second == startedAtMs;
}

void TargetDirectory::storeLost(Instant /*now*/)
{
    m_isStoreUnavailable = true;
}

void TargetDirectory::storeRegained(Instant now)
{
    if (!m_isStoreUnavailable) {
        return;
    }
    m_isStoreUnavailable = false;
    m_storeRecoveredAt = now;
    for (std::pair<const std::string, std::optional<Instant>> &lapsed : m_lapsed) {
        lapsed.second = now + m_options.lapseGrace;
    }
}

void TargetDirectory::storeRestored(Instant now)
{
    storeLost(now);
    storeRegained(now);
}

std::vector<std::string> TargetDirectory::expire(Instant now)
{
    std::vector<std::string> gone;
    for (const std::pair<const std::string, std::optional<Instant>> &lapsed : m_lapsed) {
        if (lapsed.second && now >= *lapsed.second) {
            gone.push_back(lapsed.first);
        }
    }
    for (const std::string &id : gone) {
        rememberRemoval(m_targets.at(id));
        m_lapsed.erase(id);
        m_targets.erase(id);
    }
    if (!gone.empty()) {
        rebuild();
    }
    return gone;
}

std::vector<std::string>
TargetDirectory::missingFrom(const std::map<std::string, TargetEntry, std::less<>> &present) const
{
    std::vector<std::string> missing;
    for (const std::pair<const std::string, TargetEntry> &target : m_targets) {
        if (!present.contains(target.first)) {
            missing.push_back(target.first);
        }
    }
    return missing;
}

const TargetEntry *TargetDirectory::find(std::string_view id) const
{
    const auto known = m_targets.find(id);
    return known == m_targets.end() ? nullptr : &known->second;
}

const std::vector<const TargetEntry *> &TargetDirectory::ofService(std::string_view service) const
{
    static const std::vector<const TargetEntry *> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

void TargetDirectory::setWeights(std::string_view id, std::string_view model, uint64_t version)
{
    const auto known = m_targets.find(id);
    if (known != m_targets.end()) {
        known->second.weights.insert_or_assign(std::string(model), version);
    }
}

void TargetDirectory::rebuild()
{
    m_byService.clear();
    for (const std::pair<const std::string, TargetEntry> &target : m_targets) {
        if (!target.second.isLeaving) {
            m_byService[target.second.service].push_back(&target.second);
        }
    }
}

} // namespace teaseldrift
