#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/quarantine/crash_explanation.hpp"
#include "teaseldrift/quarantine/crash_record.hpp"
#include "teaseldrift/quarantine/quarantined_segments.hpp"
#include "teaseldrift/segments/prompt_segments.hpp"

namespace teaseldrift {

struct SegmentQuarantineOptions
{
    CrashExplanationOptions explanation;
    /// Time for which a crash is known before it counts, so that other VMs can clear suspects.
    Duration settlingTime = 500ms;
    /// An answer that has gone on for this long, or is complete, clears its segments.
    Duration confirmationTime = 500ms;
    /// Time after which a crash is forgotten.
    Duration recordLifetime = 3600s;
    /// Time for which a record is kept after its last suspect was cleared, to tell other VMs.
    Duration clearedLifetime = 10s;
    size_t maxRecords = 192;
    size_t maxSuspectsPerRecord = 24;
    /// Segments whose last answer is remembered.
    size_t maxAnswered = 4096;
};

/// @brief An attempt that a target broke off.
struct LostAttempt
{
    std::string_view target;
    /// Incarnation of the target, see TargetEntry::startedAtMs.
    uint64_t startedAtMs = 0;
    std::string_view model;
    /// The whole prompt. Its last segment belongs to the request alone and is never suspected.
    std::span<const PromptSegment> segments;
    /// When the target began to answer; empty if it had not.
    std::optional<Instant> answerBeganAt;
};

/// @brief A change of the quarantined segments, for the log.
struct QuarantineChange
{
    QuarantinedSegments segments;
    bool isQuarantined = false;
};

/// @brief Finds segments of prompts that crash targets ("queries of death").
///
/// A segment that crashes each target has no answer after its first crash, while the other segments
/// of the same requests have. So each crash makes the segments of its lost requests suspects, and
/// each answer clears its own. The fewest segments that explain all crashes are quarantined; a
/// suspect whose crashes are explained by another is not.
///
/// All VMs merge their records and come to the same result, so there is no coordinator. State and
/// messages are bounded.
class SegmentQuarantine
{
public:
    SegmentQuarantine() = default;
    explicit SegmentQuarantine(SegmentQuarantineOptions options) : m_options(options) { }

    /// @brief Records an attempt that a target broke off.
    void attemptLost(const LostAttempt &attempt, Instant now);

    /// @brief Whether an answer has gone on long enough for answered().
    [[nodiscard]] bool isConfirmed(Instant beganAt, Instant now) const
    {
        return now - beganAt >= m_options.confirmationTime;
    }

    /// @brief Records that a target has answered a request.
    /// @param beganAt when the target began to answer
    void answered(std::string_view model, std::span<const PromptSegment> segments, Instant beganAt);

    /// @brief Quarantined segments of a prompt; null if there are none.
    [[nodiscard]] const QuarantinedSegments *
    find(std::string_view model, std::span<const PromptSegment> segments, Instant now);

    /// @brief Whether a trial of quarantined segments is due. Only one VM should start it.
    [[nodiscard]] bool isTrialDue(const QuarantinedSegments &quarantined, Instant now) const;

    /// @brief Records that this VM sends one request with quarantined segments.
    void startTrial(const QuarantinedSegments &quarantined, Instant now);

    /// @brief Clears a segment in all crashes known so far, on behalf of an operator.
    /// @return false if it was not suspected
    bool lift(std::string_view model, uint64_t segment, Instant now);

    /// @brief All quarantined segments.
    [[nodiscard]] const std::vector<QuarantinedSegments> &quarantined(Instant now);

    /// @brief Changes since the last call.
    std::vector<QuarantineChange> takeChanges(Instant now);

    /// @brief Records to send to a VM whose digest differs.
    [[nodiscard]] std::vector<CrashRecord> records() const;

    /// @brief Records of the crashes for which segments are quarantined.
    [[nodiscard]] std::vector<CrashRecord> quarantineRecords() const;

    /// @brief Merges records of another VM.
    void merge(std::span<const CrashRecord> records, Instant now);

    /// @brief Equal on VMs with the same suspects.
    [[nodiscard]] uint64_t digest() const;

    /// @brief Whether a record has changed after `since`, so that other VMs should learn of it
    /// soon.
    [[nodiscard]] bool hasChangedSince(Instant since) const { return m_changedAt > since; }

private:
    struct Record
    {
        CrashRecord crash;
        /// When this VM learned of the crash.
        Instant knownAt;
        Instant changedAt;
    };

    struct Answered
    {
        uint64_t key = 0;
        Instant beganAt;
    };

    void markChanged(Record &record, Instant now);
    /// Clears the suspects that were answered after the crash.
    bool clearAnswered(CrashRecord &crash) const;
    void rememberAnswer(uint64_t key, Instant beganAt);
    [[nodiscard]] std::optional<Instant> answeredAt(std::string_view model, uint64_t segment) const;
    static bool supports(const CrashRecord &crash, const QuarantinedSegments &quarantined);
    [[nodiscard]] bool supportsQuarantine(const CrashRecord &crash) const;
    [[nodiscard]] std::set<uint64_t> neededRecords() const;
    void evict();
    void expire(Instant now);
    void evaluate(Instant now);
    [[nodiscard]] std::vector<QuarantinedSegments> explainCrashes(Instant now) const;

    SegmentQuarantineOptions m_options;
    std::map<uint64_t, Record> m_records;
    std::map<std::string, Instant, std::less<>> m_modelAnsweredAt;
    /// Most recently answered first.
    std::list<Answered> m_answered;
    std::unordered_map<uint64_t, std::list<Answered>::iterator> m_answeredByKey;
    std::vector<QuarantinedSegments> m_quarantined;
    /// As of the last takeChanges().
    std::vector<QuarantinedSegments> m_reported;
    /// Trials that this VM has started, by digest of the segments.
    std::map<uint64_t, Instant> m_trials;
    /// When the quarantined segments have to be determined anew; empty while nothing can change.
    std::optional<Instant> m_evaluateAt;
    Instant m_changedAt;
};

} // namespace teaseldrift
