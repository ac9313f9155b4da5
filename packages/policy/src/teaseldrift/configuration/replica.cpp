#include "teaseldrift/configuration/replica.hpp"

#include <algorithm>
#include <set>

#include "teaseldrift/configuration/documents.hpp"

namespace teaseldrift {

ConfigurationReplica::ConfigurationReplica(ReplicaOptions options) : m_options(options) { }

bool ConfigurationReplica::apply(const ConfigurationDelta &delta, uint64_t baseRevision)
{
    bool changed = applyDocuments(delta.documents);
    if (delta.revision < m_revision) {
        return changed;
    }
    if (delta.complete) {
        changed = removeMissing(delta) || changed;
    } else if (baseRevision > m_revision) {
        // Changes between revision() and the base may be missing from the replica.
        return changed;
    }
    m_revision = delta.revision;
    m_newestRevision = std::max(m_newestRevision, m_revision);
    return changed;
}

bool ConfigurationReplica::applyDocuments(std::span<const schema::VersionedDocument> documents)
{
    bool changed = false;
    for (const schema::VersionedDocument &document : documents) {
        changed = insertIfNewer(document) || changed;
    }
    compactTombstones();
    return changed;
}

bool ConfigurationReplica::insertIfNewer(const schema::VersionedDocument &document)
{
    const auto found = m_documents.find(document.name());
    const bool known = found != m_documents.end();
    if (known && found->second.revision() >= document.revision()) {
        return false;
    }
    if (!known && document.revision() <= m_compactedRevision && document.revision() <= m_revision) {
        // The document may have been deleted since, and the tombstone compacted.
        return false;
    }
    if (known && !found->second.has_document()) {
        --m_tombstones;
    }
    if (!document.has_document()) {
        ++m_tombstones;
    }
    m_newestRevision = std::max(m_newestRevision, document.revision());
    if (known) {
        found->second = document;
    } else {
        m_documents.emplace(document.name(), document);
    }
    return true;
}

bool ConfigurationReplica::removeMissing(const ConfigurationDelta &delta)
{
    std::set<std::string_view> present;
    for (const schema::VersionedDocument &document : delta.documents) {
        present.insert(document.name());
    }
    bool changed = false;
    for (auto it = m_documents.begin(); it != m_documents.end(); ++it) {
        schema::VersionedDocument &document = it->second;
        if (document.has_document() && document.revision() <= delta.revision
            && !present.contains(document.name())) {
            document.clear_document();
            document.set_revision(delta.revision);
            ++m_tombstones;
            changed = true;
        }
    }
    m_compactedRevision = std::max(m_compactedRevision, delta.compactedRevision);
    compactTombstones();
    return changed;
}

void ConfigurationReplica::compactTombstones()
{
    if (m_tombstones <= m_options.maxTombstones) {
        return;
    }
    std::vector<uint64_t> revisions;
    for (auto it = m_documents.begin(); it != m_documents.end(); ++it) {
        if (!it->second.has_document()) {
            revisions.push_back(it->second.revision());
        }
    }
    // Removes about half of the tombstones at once, so that this scan is rare.
    const auto middle
            = revisions.begin() + static_cast<std::ptrdiff_t>(m_options.maxTombstones / 2);
    std::nth_element(revisions.begin(), middle, revisions.end(), std::greater<>());
    const uint64_t limit = std::min(*middle, m_revision);
    std::erase_if(m_documents, [limit](const auto &item) {
        return !item.second.has_document() && item.second.revision() <= limit;
    });
    m_compactedRevision = std::max(m_compactedRevision, limit);
    m_tombstones = static_cast<size_t>(
            std::count_if(m_documents.begin(), m_documents.end(),
                          [](const auto &item) { return !item.second.has_document(); }));
}

void ConfigurationReplica::confirm(Instant asOf)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(asOf), asOf);
}

bool ConfigurationReplica::isCurrent(Instant now, Duration bound) const
{
    return m_confirmedAt.has_value() && now - *m_confirmedAt <= bound;
}

bool ConfigurationReplica::holds(std::string_view name, uint64_t revision) const
{
    const auto found = m_documents.find(name);
    return (found != m_documents.end() && found->second.revision() >= revision)
           || m_revision >= revision;
}

ConfigurationDelta ConfigurationReplica::deltaSince(uint64_t knownRevision) const
{
    ConfigurationDelta delta;
    delta.revision = m_revision;
    delta.complete = knownRevision < m_compactedRevision;
    delta.compactedRevision = m_compactedRevision;
    for (auto it = m_documents.begin(); it != m_documents.end(); ++it) {
        if (delta.complete || it->second.revision() > knownRevision) {
            delta.documents.push_back(it->second);
        }
    }
    return delta;
}

std::vector<schema::VersionedDocument> ConfigurationReplica::documents() const
{
    std::vector<schema::VersionedDocument> documents;
    documents.reserve(m_documents.size());
    for (auto it = m_documents.begin(); it != m_documents.end(); ++it) {
        documents.push_back(it->second);
    }
    return documents;
}

schema::Configuration ConfigurationReplica::configuration() const
{
    return toConfiguration(documents());
}

} // namespace teaseldrift
