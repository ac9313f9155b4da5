#include "teaseldrift/configuration/change_outcome.hpp"

#include <algorithm>

namespace teaseldrift {

namespace {

const schema::VersionedDocument *findDocument(std::span<const schema::VersionedDocument> documents,
                                              std::string_view name)
{
    const auto found = std::find_if(
            documents.begin(), documents.end(),
            [name](const schema::VersionedDocument &document) { return document.name() == name; });
    const bool exists = found != documents.end() && found->has_document();
    return exists ? &*found : nullptr;
}

} // namespace

ChangeResolution resolveUncertainWrite(std::span<const DocumentChange> changes,
                                       std::span<const schema::VersionedDocument> current,
                                       std::string_view changeId)
{
    ChangeResolution result;
    std::vector<DocumentChange> conflicting;
    bool anyWritten = false;
    bool allAsWanted = true;
    for (const DocumentChange &change : changes) {
        const schema::VersionedDocument *found = findDocument(current, change.name);
        const uint64_t revision = found == nullptr ? 0 : found->revision();
        const bool written = found != nullptr && change.after.has_value()
                             && found->document().change_id() == changeId;
        const bool deleted = found == nullptr && !change.after.has_value();
        allAsWanted = allAsWanted && (written || deleted);
        if (written) {
            anyWritten = true;
            result.revision = std::max(result.revision, revision);
        } else if (!deleted && revision != change.expectedRevision) {
            DocumentChange other{.name = change.name, .before = change.before};
            if (found != nullptr) {
                other.after = found->document();
            }
            conflicting.push_back(std::move(other));
        }
    }
    if (anyWritten || (allAsWanted && !changes.empty())) {
        result.outcome = ChangeOutcome::Committed;
    } else if (!conflicting.empty()) {
        result.outcome = ChangeOutcome::Conflict;
    }
    result.conflictDiff = formatDiff(conflicting);
    return result;
}

} // namespace teaseldrift
