#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "teaseldrift/configuration/documents.hpp"

namespace teaseldrift {

/// @brief Outcome of an uncertain or refused write, as a later read shows it.
enum class ChangeOutcome {
    /// The write took effect.
    Committed,
    /// The documents are unchanged, but the write may still be in transit.
    NotObserved,
    /// Another operator changed the same documents first, or has overwritten this change.
    Conflict,
};

struct ChangeResolution
{
    ChangeOutcome outcome = ChangeOutcome::NotObserved;
    /// Store revision of the change; 0 unless it was committed with a document written.
    uint64_t revision = 0;
    /// Diff of the conflicting changes, for operators.
    std::string conflictDiff;
};

/// @brief Determines from a later read whether a write took effect whose answer was lost or which
/// was refused.
///
/// The writes of a change are one transaction, so a single document with `changeId` shows that it
/// was committed. A deletion leaves no change id; a change of deletions alone counts as committed
/// if all of its documents are missing.
/// @param changes the writes of the change
/// @param current all documents, from a read that was sent after the write had ended
ChangeResolution resolveUncertainWrite(std::span<const DocumentChange> changes,
                                       std::span<const schema::VersionedDocument> current,
                                       std::string_view changeId);

} // namespace teaseldrift
