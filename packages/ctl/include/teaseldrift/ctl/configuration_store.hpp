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

/// @brief What became of a write.
enum class WriteOutcome {
    Written,
    /// Another operator's change came first; nothing was written.
    Conflict,
    /// The store could not be reached; nothing was written.
    NotApplied,
    /// The answer was lost and reading back did not settle it.
    Uncertain,
};

struct ConfigurationWriteResult
{
    WriteOutcome outcome = WriteOutcome::Uncertain;
    /// Store revision of the change.
    uint64_t revision = 0;
    /// What the winner of a race changed, as lines.
    std::string conflictDiff;
};

/// @brief The configuration in the platform's store, read and written call by call.
class ConfigurationStore
{
public:
    ConfigurationStore(http::Endpoint store, std::string prefix);
    ~ConfigurationStore();
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;

    ConfigurationReadResult read();

    /// @brief Writes all changes or none, by compare-and-swap. A lost answer is settled by reading
    /// back the change id; writing again is safe since the compared revisions stay the same.
    ConfigurationWriteResult write(std::span<const DocumentChange> changes,
                                   std::string_view changeId);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::ctl
