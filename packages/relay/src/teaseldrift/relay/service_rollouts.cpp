#include "teaseldrift/relay/service_rollouts.hpp"

#include <utility>

#include "teaseldrift/targets/peer_load_tracker.hpp"

namespace teaseldrift::relay {

VersionEvidence *ServiceRollouts::evidence(std::string_view service)
{
    const RolloutOrder *order = m_split.order(service);
    if (order == nullptr) {
        return nullptr;
    }
    VersionEvidence &evidence = m_evidence[order->service];
    if (evidence.counts().order != order->number) {
        evidence.reset(order->number);
    }
    return &evidence;
}

std::optional<RolloutCounts> ServiceRollouts::counts(std::string_view service)
{
    const VersionEvidence *own = evidence(service);
    if (own == nullptr) {
        return std::nullopt;
    }
    RolloutCounts counts = own->counts();
    if (const AnnouncedRollout *announced = m_split.find(service)) {
        counts.fencing = announced->announcement.fencing;
        counts.sequence = announced->announcement.sequence;
    }
    return counts;
}

const VersionRule *VersionedAttempt::select(uint64_t attempt, Instant now)
{
    if (m_rollouts == nullptr) {
        return nullptr;
    }
    if (m_attempt != attempt) {
        constexpr uint64_t first = 1;
        m_attempt = attempt;
        m_rule = attempt == first ? m_rollouts->split().next(m_service, m_route, now)
                                  : m_rollouts->split().withoutCredit(m_service, now);
    }
    return &m_rule;
}

bool VersionedAttempt::fallBack(Instant now)
{
    if (m_rollouts == nullptr || m_rule.kind != VersionRule::Kind::Require) {
        return false;
    }
    VersionRule rule = m_rollouts->split().withoutCredit(m_service, now);
    if (rule.kind == VersionRule::Kind::Require) {
        return false;
    }
    m_rule = std::move(rule);
    return true;
}

void VersionedAttempt::sent(const TargetEntry *target, Instant now)
{
    end();
    VersionEvidence *evidence = m_rollouts == nullptr ? nullptr : m_rollouts->evidence(m_service);
    if (evidence == nullptr || target == nullptr) {
        return;
    }
    const bool isNew = target->softwareVersion == m_rollouts->split().order(m_service)->version;
    m_order = evidence->counts().order;
    m_targetKey = isNew ? targetKeyOf(target->id) : EvidenceKey::oldVersion;
    m_sentAt = now;
    m_hasResponded = false;
    evidence->sent(isNew);
}

VersionEvidence *VersionedAttempt::evidence()
{
    if (m_order == 0) {
        return nullptr;
    }
    VersionEvidence *evidence = m_rollouts->evidence(m_service);
    const bool isCounted = evidence != nullptr && evidence->counts().order == m_order;
    return isCounted ? evidence : nullptr;
}

void VersionedAttempt::responded(Instant now)
{
    VersionEvidence *counted = evidence();
    if (counted != nullptr && !m_hasResponded) {
        m_hasResponded = true;
        counted->responded(m_route, m_targetKey, false, now - m_sentAt, now);
    }
}

void VersionedAttempt::failed(Instant now)
{
    if (VersionEvidence *counted = evidence()) {
        counted->responded(m_route, m_targetKey, true, std::nullopt, now);
    }
    // A failed attempt counts once, whatever follows at its target.
    end();
}

void VersionedAttempt::end()
{
    if (VersionEvidence *counted = evidence()) {
        counted->finished(m_targetKey != EvidenceKey::oldVersion);
    }
    m_order = 0;
}

} // namespace teaseldrift::relay
