#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift {

/// @brief Documents that bring a replica from a known revision to `revision`.
struct ConfigurationDelta
{
    std::vector<schema::VersionedDocument> documents;
    uint64_t revision = 0;
    /// `documents` is a full snapshot: documents that it does not contain do not exist at
    /// `revision`.
    bool complete = false;
    /// Of a complete delta: tombstones up to this revision may be missing.
    uint64_t compactedRevision = 0;
};

struct ReplicaOptions
{
    /// Tombstones kept before they are compacted.
    size_t maxTombstones = 1024;
};

/// @brief A VM's replica of the configuration, and the time as of which it is confirmed as current.
///
/// Contains the documents of the store at revision(), and single newer documents that an operator
/// pushed. A document is only replaced by one of a higher revision.
///
/// The replica is confirmed as of an instant t of this VM's clock if it contains every change that
/// the store committed before t or that a majority of the VMs held before t. If a request is sent
/// at t and the answering peer's own confirmation has the age a, this replica is confirmed as of
/// t - a: the peer answered after t, so its confirmation is from after t - a.
///
/// ```cpp
/// replica.apply(delta);
/// replica.confirm(sentAt - age);
/// if (!replica.isCurrent(now, 3s)) { ... }
/// ```
class ConfigurationReplica
{
public:
    explicit ConfigurationReplica(ReplicaOptions options = {});

    /// @brief Applies a delta and advances revision() to delta.revision.
    /// @param baseRevision revision that the delta starts from; if it is above revision() and the
    ///        delta is not complete, the documents are applied but revision() stays
    /// @return whether any document changed
    bool apply(const ConfigurationDelta &delta, uint64_t baseRevision);

    /// @brief Applies single documents; revision() stays.
    /// @return whether any document changed
    bool applyDocuments(std::span<const schema::VersionedDocument> documents);

    /// @brief Records that the replica was current as of an instant; older instants are ignored.
    void confirm(Instant asOf);

    /// @brief Whether the last confirmation is at most `bound` old.
    [[nodiscard]] bool isCurrent(Instant now, Duration bound) const;

    /// @brief Instant as of which the replica is confirmed; nothing if it never was.
    [[nodiscard]] std::optional<Instant> confirmedAt() const { return m_confirmedAt; }

    /// @brief Store revision up to which the replica contains all changes.
    [[nodiscard]] uint64_t revision() const { return m_revision; }

    /// @brief Revision of the newest document or tombstone, at least revision().
    [[nodiscard]] uint64_t newestRevision() const { return m_newestRevision; }

    /// @brief Whether the replica contains the document or its deletion at this revision or newer.
    [[nodiscard]] bool holds(std::string_view name, uint64_t revision) const;

    /// @brief Number of documents, without tombstones.
    [[nodiscard]] size_t liveCount() const { return m_documents.size() - m_tombstones; }

    /// @brief The changes that a peer at `knownRevision` lacks.
    [[nodiscard]] ConfigurationDelta deltaSince(uint64_t knownRevision) const;

    /// @brief All documents, tombstones included.
    [[nodiscard]] std::vector<schema::VersionedDocument> documents() const;

    /// @brief The configuration that the documents make up.
    [[nodiscard]] schema::Configuration configuration() const;

private:
    ReplicaOptions m_options;
    std::map<std::string, schema::VersionedDocument, std::less<>> m_documents;
    size_t m_tombstones = 0;
    uint64_t m_revision = 0;
    uint64_t m_newestRevision = 0;
    /// Tombstones up to this revision may have been compacted.
    uint64_t m_compactedRevision = 0;
    std::optional<Instant> m_confirmedAt;

    bool insertIfNewer(const schema::VersionedDocument &document);
    bool removeMissing(const ConfigurationDelta &delta);
    void compactTombstones();
};

} // namespace teaseldrift
