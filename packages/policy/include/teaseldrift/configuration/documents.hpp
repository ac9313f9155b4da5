#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief Segment of a store key between the configured prefix and the document's name.
inline constexpr std::string_view configurationKeySegment = "config/";

/// @brief A document and its name: `fleet`, `organisation/<name>` or `target/<id>`.
///
/// Its store key is `<prefix>config/<name>`, the value is the serialized document.
struct NamedDocument
{
    std::string name;
    schema::Document document;
};

/// @brief The write of one document within an operator's change.
struct DocumentChange
{
    std::string name;
    /// Absent if the document is created.
    std::optional<schema::Document> before;
    /// Absent if the document is deleted.
    std::optional<schema::Document> after;
    /// Revision that the document must have for the write to succeed; 0 if it must not exist.
    uint64_t expectedRevision = 0;
};

/// @brief Name of a document as in NamedDocument, empty if the document has no body.
std::string documentName(const schema::Document &document);

/// @brief Splits a configuration into documents, sorted by name.
std::vector<NamedDocument> toDocuments(const schema::Configuration &configuration);

/// @brief Assembles the configuration from documents; deleted documents are skipped.
schema::Configuration toConfiguration(std::span<const schema::VersionedDocument> documents);

/// @brief Computes the writes that turn the current documents into the wanted configuration.
///
/// ```cpp
/// std::vector<DocumentChange> changes = planChanges(current, wanted, changeId);
/// std::cout << formatDiff(changes);
/// ```
/// @param changeId set in each written document
/// @return writes of the documents that differ, sorted by name
std::vector<DocumentChange> planChanges(std::span<const schema::VersionedDocument> current,
                                        const schema::Configuration &wanted,
                                        std::string_view changeId);

/// @brief Formats changes for operators, one line for each field. Salts and hashes of API keys are
/// omitted.
std::string formatDiff(std::span<const DocumentChange> changes);

} // namespace teaseldrift
