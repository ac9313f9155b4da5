#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "teaseldrift/schema/vm_record.pb.h"

namespace teaseldrift {

/// @brief A change of a model's desired weights version, as it is recorded in the store.
struct RecordedWeightsChange
{
    uint64_t version = 0;
    /// Wall-clock time of the change.
    int64_t changedAtUnixMs = 0;
    /// Version that was the desired one before, 0 for none; empty if it is not known.
    std::optional<uint64_t> previous;
    /// The time is only the earliest possible one; it does not replace a recorded one.
    bool isAssumed = false;
};

/// @brief All changes of a record, oldest first.
[[nodiscard]] std::vector<RecordedWeightsChange> changesOf(const schema::WeightsNaming &record);

/// @brief Adds changes to a record. The earliest time of each version counts, so that no writer
/// makes a version look younger. Changes before the newest one that is older than
/// `settledBeforeUnixMs` are dropped, since they have no further effect.
/// @param changes in any order
/// @return the new record; empty if the present one says the same
[[nodiscard]] std::optional<schema::WeightsNaming>
mergeChanges(const schema::WeightsNaming &record, const std::string &model,
             std::span<const RecordedWeightsChange> changes, int64_t settledBeforeUnixMs);

} // namespace teaseldrift
