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
struct ConfigurationRead
{
    std::error_code error;
    std::vector<schema::VersionedDocument> documents;
    uint64_t revision = 0;
};

/// @brief What became of a write.
enum class ChangeResult {
    Written,
    /// Another operator's change came first; nothing was written.
    Conflict,
    /// The store could not be reached; nothing was written.
    NotSent,
    /// The answer was lost and reading back did not settle it.
    Unclear,
};

struct ChangeReport
{
    ChangeResult result = ChangeResult::Unclear;
    /// Store revision of the change.
    uint64_t revision = 0;
    /// What the winner of a race changed, as lines.
    std::string winnerDiff;
};

/// @brief The configuration in the platform's store, read and written call by call.
class ConfigurationStore
{
public:
    ConfigurationStore(http::Endpoint store, std::string prefix);
    ~ConfigurationStore();
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;

    ConfigurationRead read();

    /// @brief Writes all changes or none, by compare-and-swap. A lost answer is settled by reading
    /// back the change id; writing again is safe since the compared revisions stay the same.
    ChangeReport write(std::span<const DocumentChange> changes, std::string_view changeId);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::ctl
