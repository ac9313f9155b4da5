#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "teaseldrift/quarantine/segment_quarantine.hpp"
#include "teaseldrift/schema/crash_reports.pb.h"

namespace teaseldrift {

/// @brief The digest of a VM's crash records and, unless the other VM is known to have the same
/// digest, the records.
schema::CrashReports crashReportsFor(const SegmentQuarantine &quarantine,
                                     std::optional<uint64_t> otherDigest, Instant now);

/// @brief Writes crash records; ages are relative to `now`.
schema::CrashReports writeCrashReports(std::span<const CrashRecord> records, Instant now);

/// @brief Reads crash records.
/// @param writtenAt when they were written, as far as is known
std::vector<CrashRecord> readCrashReports(const schema::CrashReports &reports, Instant writtenAt);

} // namespace teaseldrift
