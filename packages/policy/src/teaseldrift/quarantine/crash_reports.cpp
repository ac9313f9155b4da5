#include "teaseldrift/quarantine/crash_reports.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace teaseldrift {

namespace {

/// Greater ages are longer than a record is kept.
constexpr uint64_t maxAgeMs = 86400000;

} // namespace

schema::CrashReports crashReportsFor(const SegmentQuarantine &quarantine,
                                     std::optional<uint64_t> otherDigest, Instant now)
{
    const uint64_t digest = quarantine.digest();
    schema::CrashReports reports;
    if (otherDigest != digest) {
        reports = writeCrashReports(quarantine.records(), now);
    }
    reports.set_digest(digest);
    return reports;
}

schema::CrashReports writeCrashReports(std::span<const CrashRecord> records, Instant now)
{
    schema::CrashReports reports;
    for (const CrashRecord &record : records) {
        schema::TargetCrash &crash = *reports.add_crashes();
        crash.set_id(record.id);
        crash.set_target(record.target);
        crash.set_model(record.model);
        crash.set_age_ms(static_cast<uint64_t>(
                std::max<Duration>(now - record.observedAt, Duration(0)) / 1ms));
        crash.set_is_followed_by_answer(record.isFollowedByAnswer);
        for (const std::pair<const uint64_t, bool> &suspect : record.suspects) {
            if (suspect.second) {
                crash.add_cleared(suspect.first);
            } else {
                crash.add_suspects(suspect.first);
            }
        }
    }
    return reports;
}

std::vector<CrashRecord> readCrashReports(const schema::CrashReports &reports, Instant writtenAt)
{
    std::vector<CrashRecord> records;
    for (const schema::TargetCrash &crash : reports.crashes()) {
        const std::chrono::milliseconds age(std::min(crash.age_ms(), maxAgeMs));
        CrashRecord record{.id = crash.id(),
                           .target = crash.target(),
                           .model = crash.model(),
                           .observedAt = writtenAt - age,
                           .isFollowedByAnswer = crash.is_followed_by_answer()};
        for (const uint64_t segment : crash.suspects()) {
            record.suspects[segment] = false;
        }
        for (const uint64_t segment : crash.cleared()) {
            record.suspects[segment] = true;
        }
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace teaseldrift
