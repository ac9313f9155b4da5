#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "teaseldrift/configuration/documents.hpp"

namespace teaseldrift {

/// @brief What a read after an unclear or refused write shows.
enum class ChangeOutcome {
    /// All documents of the change are as written.
    Committed,
    /// The documents are as before, but a delayed write may still arrive.
    NotObserved,
    /// Another operator's change came first, or has replaced this one since.
    Conflict,
};

struct ChangeResolution
{
    ChangeOutcome outcome = ChangeOutcome::NotObserved;
    /// Revision of the change if it took effect.
    uint64_t revision = 0;
    /// What the conflicting changed, as lines for operators.
    std::string conflictDiff;
};

/// @brief Tells from a later read what became of a change whose answer was lost or refused.
///
/// A document that carries `changeId` proves that the change took effect, since all its writes take
/// effect together. A deletion alone leaves no change id; a missing document then counts as
/// deleted by this change.
/// @param changes the writes that were tried
/// @param current all documents of a read that was sent after the write had ended
ChangeResolution resolveUncertainWrite(std::span<const DocumentChange> changes,
                                       std::span<const schema::VersionedDocument> current,
                                       std::string_view changeId);

} // namespace teaseldrift
