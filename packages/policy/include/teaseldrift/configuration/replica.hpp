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

/// @brief Documents that lead from a known revision to `revision`.
struct ConfigurationDelta
{
    std::vector<schema::VersionedDocument> documents;
    uint64_t revision = 0;
    /// Documents that are missing here do not exist at `revision`.
    bool complete = false;
    /// Of a complete delta: deletions up to this revision are not listed one by one.
    uint64_t compactedRevision = 0;
};

struct ReplicaOptions
{
    /// Deletions remembered one by one.
    size_t maxTombstones = 1024;
};

/// @brief The documents that a VM holds, and up to when they are proven to be current.
///
/// The documents are those of the store at revision(), and besides them single newer ones that an
/// operator handed over. A document is only ever replaced by one of a higher revision.
///
/// Proofs are instants t of this VM's clock such that every change that the store accepted before
/// t, or that a majority of the VMs held before t, is in this replica. An answer to a request sent
/// at t by a peer whose own proof had the age a is a proof for t - a: the peer answered after t,
/// so its proof was made after t - a.
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

    /// @brief Takes over documents that hold at delta.revision.
    /// @param baseRevision revision that the delta starts from; it must not be above revision()
    ///        unless the delta is complete
    /// @return whether any document changed
    bool apply(const ConfigurationDelta &delta, uint64_t baseRevision);

    /// @brief Takes over single documents; revision() stays.
    /// @return whether any document changed
    bool applyDocuments(std::span<const schema::VersionedDocument> documents);

    /// @brief Records a proof; an older one is ignored.
    void confirm(Instant asOf);

    /// @brief Whether the last proof is at most `bound` old.
    [[nodiscard]] bool isCurrent(Instant now, Duration bound) const;

    /// @brief Instant of the last proof.
    [[nodiscard]] std::optional<Instant> confirmedAt() const { return m_confirmedAt; }

    /// @brief Store revision up to which all changes are held.
    [[nodiscard]] uint64_t revision() const { return m_revision; }

    /// @brief Revision of the newest document or deletion, at least revision().
    [[nodiscard]] uint64_t newestRevision() const { return m_newestRevision; }

    /// @brief Whether a document, or its deletion, is held with at least this revision.
    [[nodiscard]] bool holds(std::string_view name, uint64_t revision) const;

    /// @brief Documents that exist, without deletions.
    [[nodiscard]] size_t liveCount() const { return m_documents.size() - m_tombstones; }

    /// @brief What a peer at `knownRevision` lacks.
    [[nodiscard]] ConfigurationDelta deltaSince(uint64_t knownRevision) const;

    /// @brief All documents, deletions included.
    [[nodiscard]] std::vector<schema::VersionedDocument> documents() const;

    /// @brief The configuration as one message.
    [[nodiscard]] schema::Configuration configuration() const;

private:
    ReplicaOptions m_options;
    std::map<std::string, schema::VersionedDocument, std::less<>> m_documents;
    size_t m_tombstones = 0;
    uint64_t m_revision = 0;
    uint64_t m_newestRevision = 0;
    /// Deletions up to this revision may have been forgotten.
    uint64_t m_compactedRevision = 0;
    std::optional<Instant> m_confirmedAt;

    bool insertIfNewer(const schema::VersionedDocument &document);
    bool removeMissing(const ConfigurationDelta &delta);
    void compactTombstones();
};

} // namespace teaseldrift
