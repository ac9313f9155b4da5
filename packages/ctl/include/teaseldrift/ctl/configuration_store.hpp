#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "teaseldrift/configuration/documents.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::ctl {

/// @brief All documents of the store at one revision.
struct ConfigurationReadResult
{
    std::error_code error;
    std::vector<schema::VersionedDocument> documents;
    uint64_t revision = 0;
};

/// @brief Outcome of a write.
enum class WriteOutcome {
    Written,
    /// A concurrent change was written first; nothing was written.
    Conflict,
    /// The store could not be reached; nothing was written.
    NotApplied,
    /// The response was lost, and reading back did not show whether the write took effect.
    Uncertain,
};

struct ConfigurationWriteResult
{
    WriteOutcome outcome = WriteOutcome::Uncertain;
    /// Store revision of the change.
    uint64_t revision = 0;
    /// Diff of the concurrent change, one line per difference.
    std::string conflictDiff;
};

/// @brief Blocking client for the configuration in the platform's store.
class ConfigurationStore
{
public:
    ConfigurationStore(http::Endpoint store, std::string prefix);
    ~ConfigurationStore();
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;

    ConfigurationReadResult read();

    /// @brief Writes all changes or none, by compare-and-swap.
    ///
    /// If the response is lost, the change id is read back to determine whether the write took
    /// effect. Retrying is safe, since the expected revisions stay the same.
    ConfigurationWriteResult write(std::span<const DocumentChange> changes,
                                   std::string_view changeId);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::ctl
