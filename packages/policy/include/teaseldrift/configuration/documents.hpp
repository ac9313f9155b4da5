#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief Part of a store key between the store's prefix and a document's name.
inline constexpr std::string_view configurationKeySegment = "config/";

/// @brief A document and its name: `fleet`, `organisation/<name>` or `target/<id>`.
///
/// Its store key is `<prefix>config/<name>`, the value is the serialized document.
struct NamedDocument
{
    std::string name;
    schema::Document document;
};

/// @brief One write that an operator's change needs.
struct DocumentChange
{
    std::string name;
    /// Absent if the document is new.
    std::optional<schema::Document> before;
    /// Absent if the document is deleted.
    std::optional<schema::Document> after;
    /// Revision that the document must still have when it is written; 0 if it must not exist.
    uint64_t expectedRevision = 0;
};

/// @brief Name of a document within the configuration, empty if it has no body.
std::string documentName(const schema::Document &document);

/// @brief Divides a configuration into its documents, in order of name.
std::vector<NamedDocument> toDocuments(const schema::Configuration &configuration);

/// @brief Puts documents together; deleted ones are left out.
schema::Configuration toConfiguration(std::span<const schema::VersionedDocument> documents);

/// @brief The writes that turn the current documents into the wanted configuration.
///
/// ```cpp
/// std::vector<DocumentChange> changes = planChanges(current, wanted, changeId);
/// std::cout << formatDiff(changes);
/// ```
/// @param changeId stamped into each written document
/// @return only documents that differ, in order of name
std::vector<DocumentChange> planChanges(std::span<const schema::VersionedDocument> current,
                                        const schema::Configuration &wanted,
                                        std::string_view changeId);

/// @brief The changes as lines for operators, one for each field. Key hashes are not shown.
std::string formatDiff(std::span<const DocumentChange> changes);

} // namespace teaseldrift
