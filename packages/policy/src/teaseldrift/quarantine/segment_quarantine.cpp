#include "teaseldrift/quarantine/segment_quarantine.hpp"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

namespace teaseldrift {

namespace {

/// The segments of a prompt that other requests may share.
std::span<const PromptSegment> sharedSegments(std::span<const PromptSegment> segments)
{
    return segments.first(segments.empty() ? 0 : segments.size() - 1);
}

uint64_t hashOf(std::span<const uint64_t> numbers, uint64_t seed)
{
    return XXH3_64bits_withSeed(numbers.data(), numbers.size_bytes(), seed);
}

uint64_t keyOf(const QuarantinedSegments &quarantined)
{
    return hashOf(quarantined.segments,
                  XXH3_64bits(quarantined.model.data(), quarantined.model.size()));
}

bool contains(std::span<const QuarantinedSegments> list, const QuarantinedSegments &wanted)
{
    return std::any_of(list.begin(), list.end(), [&wanted](const QuarantinedSegments &candidate) {
        return candidate.isSame(wanted);
    });
}

} // namespace

void SegmentQuarantine::attemptLost(const LostAttempt &attempt, Instant now)
{
    const std::span<const PromptSegment> segments = sharedSegments(attempt.segments);
    if (segments.empty() || (attempt.answerBeganAt && isConfirmed(*attempt.answerBeganAt, now))) {
        return;
    }
    const uint64_t id = crashIdOf(attempt.target, attempt.startedAtMs, attempt.model);
    const auto [entry, isNew]
            = m_records.try_emplace(id, Record{.crash = {.id = id,
                                                         .target = std::string(attempt.target),
                                                         .model = std::string(attempt.model),
                                                         .observedAt = now},
                                               .knownAt = now});
    CrashRecord &crash = entry->second.crash;
    const size_t before = crash.suspects.size();
    for (const PromptSegment &segment : segments) {
        if (crash.suspects.size() < m_options.maxSuspectsPerRecord) {
            crash.suspects.try_emplace(segment.id, false);
        }
    }
    const bool isCleared = clearAnswered(crash);
    if (isNew || isCleared || crash.suspects.size() != before) {
        markChanged(entry->second, now);
    }
    evict();
}

void SegmentQuarantine::answered(std::string_view model, std::span<const PromptSegment> segments,
                                 Instant beganAt)
{
    auto found = m_modelAnsweredAt.find(model);
    if (found == m_modelAnsweredAt.end()) {
        found = m_modelAnsweredAt.emplace(model, beganAt).first;
    }
    found->second = std::max(found->second, beganAt);
    for (const PromptSegment &segment : sharedSegments(segments)) {
        rememberAnswer(segmentKeyOf(model, segment.id), beganAt);
    }
    for (std::pair<const uint64_t, Record> &record : m_records) {
        if (record.second.crash.model == model && clearAnswered(record.second.crash)) {
            markChanged(record.second, std::max(beganAt, record.second.changedAt));
        }
    }
}

const QuarantinedSegments *SegmentQuarantine::find(std::string_view model,
                                                   std::span<const PromptSegment> segments,
                                                   Instant now)
{
    evaluate(now);
    const std::span<const PromptSegment> shared = sharedSegments(segments);
    const auto isInPrompt = [shared](uint64_t id) {
        return std::any_of(shared.begin(), shared.end(),
                           [id](const PromptSegment &segment) { return segment.id == id; });
    };
    const auto found = std::find_if(m_quarantined.begin(), m_quarantined.end(),
                                    [&](const QuarantinedSegments &candidate) {
                                        return candidate.model == model
                                               && std::all_of(candidate.segments.begin(),
                                                              candidate.segments.end(), isInPrompt);
                                    });
    return found == m_quarantined.end() ? nullptr : &*found;
}

bool SegmentQuarantine::isTrialDue(const QuarantinedSegments &quarantined, Instant now) const
{
    const auto last = m_trials.find(keyOf(quarantined));
    const Duration delay = quarantined.trialFrom - quarantined.lastCrashAt;
    return now >= quarantined.trialFrom && (last == m_trials.end() || now >= last->second + delay);
}

void SegmentQuarantine::startTrial(const QuarantinedSegments &quarantined, Instant now)
{
    m_trials[keyOf(quarantined)] = now;
}

bool SegmentQuarantine::lift(std::string_view model, uint64_t segment, Instant now)
{
    bool isLifted = false;
    for (std::pair<const uint64_t, Record> &record : m_records) {
        CrashRecord &crash = record.second.crash;
        if (crash.model == model && crash.isSuspect(segment)) {
            crash.suspects[segment] = true;
            markChanged(record.second, now);
            isLifted = true;
        }
    }
    return isLifted;
}

const std::vector<QuarantinedSegments> &SegmentQuarantine::quarantined(Instant now)
{
    evaluate(now);
    return m_quarantined;
}

std::vector<QuarantineChange> SegmentQuarantine::takeChanges(Instant now)
{
    evaluate(now);
    std::vector<QuarantineChange> changes;
    for (const QuarantinedSegments &current : m_quarantined) {
        if (!contains(m_reported, current)) {
            changes.push_back({.segments = current, .isQuarantined = true});
        }
    }
    for (const QuarantinedSegments &former : m_reported) {
        if (!contains(m_quarantined, former)) {
            changes.push_back({.segments = former, .isQuarantined = false});
        }
    }
    m_reported = m_quarantined;
    return changes;
}

std::vector<CrashRecord> SegmentQuarantine::records() const
{
    std::vector<CrashRecord> records;
    for (const std::pair<const uint64_t, Record> &record : m_records) {
        records.push_back(record.second.crash);
    }
    return records;
}

std::vector<CrashRecord> SegmentQuarantine::quarantineRecords() const
{
    std::vector<CrashRecord> records;
    for (const std::pair<const uint64_t, Record> &record : m_records) {
        if (supportsQuarantine(record.second.crash)) {
            records.push_back(record.second.crash);
        }
    }
    return records;
}

void SegmentQuarantine::merge(std::span<const CrashRecord> records, Instant now)
{
    for (const CrashRecord &received : records) {
        const auto known = m_records.find(received.id);
        // Otherwise two VMs could keep a cleared record alive for each other.
        const bool isOfUse = known != m_records.end() || received.hasSuspect();
        if (!isOfUse || now - received.observedAt >= m_options.recordLifetime) {
            continue;
        }
        const auto [entry, isNew] = m_records.try_emplace(
                received.id, Record{.crash = {.id = received.id,
                                              .target = received.target,
                                              .model = received.model,
                                              .observedAt = received.observedAt},
                                    .knownAt = now});
        CrashRecord &crash = entry->second.crash;
        bool isChanged = isNew;
        crash.observedAt = std::min(crash.observedAt, received.observedAt);
        for (const std::pair<const uint64_t, bool> &suspect : received.suspects) {
            const bool isKnown = crash.suspects.contains(suspect.first);
            if (!isKnown && crash.suspects.size() >= m_options.maxSuspectsPerRecord) {
                continue;
            }
            bool &isCleared = crash.suspects[suspect.first];
            isChanged = isChanged || !isKnown || (suspect.second && !isCleared);
            isCleared = isCleared || suspect.second;
        }
        if (received.isFollowedByAnswer && !crash.isFollowedByAnswer) {
            crash.isFollowedByAnswer = true;
            isChanged = true;
        }
        if (clearAnswered(crash) || isChanged) {
            markChanged(entry->second, now);
        }
    }
    evict();
}

uint64_t SegmentQuarantine::digest() const
{
    uint64_t digest = 0;
    for (const std::pair<const uint64_t, Record> &record : m_records) {
        const CrashRecord &crash = record.second.crash;
        if (!crash.hasSuspect()) {
            continue;
        }
        std::vector<uint64_t> parts{crash.id, crash.isFollowedByAnswer ? 1U : 0U};
        for (const std::pair<const uint64_t, bool> &suspect : crash.suspects) {
            if (!suspect.second) {
                parts.push_back(suspect.first);
            }
        }
        digest = hashOf(parts, digest);
    }
    return digest;
}

void SegmentQuarantine::markChanged(Record &record, Instant now)
{
    record.changedAt = now;
    m_changedAt = std::max(m_changedAt, now);
    m_evaluateAt = now;
}

bool SegmentQuarantine::clearAnswered(CrashRecord &crash) const
{
    bool isChanged = false;
    const auto model = m_modelAnsweredAt.find(crash.model);
    if (model == m_modelAnsweredAt.end() || model->second <= crash.observedAt) {
        return isChanged;
    }
    isChanged = !std::exchange(crash.isFollowedByAnswer, true);
    for (std::pair<const uint64_t, bool> &suspect : crash.suspects) {
        if (suspect.second) {
            continue;
        }
        const std::optional<Instant> at = answeredAt(crash.model, suspect.first);
        suspect.second = at && *at > crash.observedAt;
        isChanged = isChanged || suspect.second;
    }
    return isChanged;
}

void SegmentQuarantine::rememberAnswer(uint64_t key, Instant beganAt)
{
    const auto known = m_answeredByKey.find(key);
    if (known != m_answeredByKey.end()) {
        known->second->beganAt = std::max(known->second->beganAt, beganAt);
        m_answered.splice(m_answered.begin(), m_answered, known->second);
        return;
    }
    m_answered.push_front({.key = key, .beganAt = beganAt});
    m_answeredByKey.emplace(key, m_answered.begin());
    if (m_answered.size() > m_options.maxAnswered) {
        m_answeredByKey.erase(m_answered.back().key);
        m_answered.pop_back();
    }
}

std::optional<Instant> SegmentQuarantine::answeredAt(std::string_view model, uint64_t segment) const
{
    const auto found = m_answeredByKey.find(segmentKeyOf(model, segment));
    return found == m_answeredByKey.end() ? std::nullopt : std::optional(found->second->beganAt);
}

bool SegmentQuarantine::supports(const CrashRecord &crash, const QuarantinedSegments &quarantined)
{
    return quarantined.model == crash.model
           && std::all_of(quarantined.segments.begin(), quarantined.segments.end(),
                          [&crash](uint64_t id) { return crash.isSuspect(id); });
}

bool SegmentQuarantine::supportsQuarantine(const CrashRecord &crash) const
{
    return std::any_of(m_quarantined.begin(), m_quarantined.end(),
                       [&crash](const QuarantinedSegments &quarantined) {
                           return supports(crash, quarantined);
                       });
}

/// Ids of the newest records of each quarantine, as many as it needs to stay in force.
std::set<uint64_t> SegmentQuarantine::neededRecords() const
{
    const size_t needed = m_options.explanation.minCrashes + 1;
    std::set<uint64_t> ids;
    for (const QuarantinedSegments &quarantined : m_quarantined) {
        std::vector<std::pair<Instant, uint64_t>> newestFirst;
        for (const std::pair<const uint64_t, Record> &record : m_records) {
            if (supports(record.second.crash, quarantined)) {
                newestFirst.emplace_back(record.second.crash.observedAt, record.first);
            }
        }
        std::sort(newestFirst.rbegin(), newestFirst.rend());
        newestFirst.resize(std::min(newestFirst.size(), needed));
        for (const std::pair<Instant, uint64_t> &record : newestFirst) {
            ids.insert(record.second);
        }
    }
    return ids;
}

/// Removes records above the limit, the oldest of a kind first: those without a suspect, those that
/// a quarantine does not need, those that support none, and last those that one needs.
void SegmentQuarantine::evict()
{
    if (m_records.size() <= m_options.maxRecords) {
        return;
    }
    const std::set<uint64_t> needed = neededRecords();
    const auto rank = [&](const CrashRecord &crash) {
        const int kind = !crash.hasSuspect()         ? 0
                         : needed.contains(crash.id) ? 3
                         : supportsQuarantine(crash) ? 1
                                                     : 2;
        return std::pair(kind, crash.observedAt);
    };
    while (m_records.size() > m_options.maxRecords) {
        m_records.erase(std::min_element(m_records.begin(), m_records.end(),
                                         [&](const std::pair<const uint64_t, Record> &left,
                                             const std::pair<const uint64_t, Record> &right) {
                                             return rank(left.second.crash)
                                                    < rank(right.second.crash);
                                         }));
    }
}

void SegmentQuarantine::expire(Instant now)
{
    std::erase_if(m_records, [this, now](const std::pair<const uint64_t, Record> &record) {
        const bool isCleared = !record.second.crash.hasSuspect();
        return now - record.second.crash.observedAt >= m_options.recordLifetime
               || (isCleared && now - record.second.changedAt >= m_options.clearedLifetime);
    });
    std::erase_if(m_trials, [this, now](const std::pair<const uint64_t, Instant> &trial) {
        return now - trial.second >= m_options.recordLifetime;
    });
}

void SegmentQuarantine::evaluate(Instant now)
{
    if (!m_evaluateAt || now < *m_evaluateAt) {
        return;
    }
    expire(now);
    m_quarantined = explainCrashes(now);
    m_evaluateAt.reset();
    const auto evaluateAt
            = [this](Instant at) { m_evaluateAt = std::min(m_evaluateAt.value_or(at), at); };
    for (const std::pair<const uint64_t, Record> &record : m_records) {
        const Instant settledAt = record.second.knownAt + m_options.settlingTime;
        if (now < settledAt) {
            evaluateAt(settledAt);
        }
        evaluateAt(record.second.crash.observedAt + m_options.recordLifetime);
        if (!record.second.crash.hasSuspect()) {
            evaluateAt(record.second.changedAt + m_options.clearedLifetime);
        }
    }
}

std::vector<QuarantinedSegments> SegmentQuarantine::explainCrashes(Instant now) const
{
    std::vector<const CrashRecord *> crashes;
    for (const std::pair<const uint64_t, Record> &record : m_records) {
        if (record.second.crash.isFollowedByAnswer
            && now - record.second.knownAt >= m_options.settlingTime) {
            crashes.push_back(&record.second.crash);
        }
    }
    return teaseldrift::explainCrashes(crashes, m_options.explanation);
}

} // namespace teaseldrift
