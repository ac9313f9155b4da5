#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::http {
class Client;
class EventLoop;
} // namespace teaseldrift::http

namespace teaseldrift::load {

/// @brief An answer of GET /v1/entry.
struct EntryResponse
{
    std::vector<http::Endpoint> vms;
    Duration lifetime = 10s;
};

/// @brief Reads an answer of GET /v1/entry; no VMs if it is not valid.
EntryResponse parseEntry(std::string_view body);

/// @brief The entry VMs that one key uses, asked for again when the answer's lifetime ends.
class EntryVmResolver
{
public:
    /// @param known VMs to ask, and to use until an answer comes
    EntryVmResolver(http::EventLoop &loop, http::Client &client,
                    std::vector<http::Endpoint> configuredVms, std::string key);
    ~EntryVmResolver();
    EntryVmResolver(const EntryVmResolver &) = delete;
    EntryVmResolver &operator=(const EntryVmResolver &) = delete;

    /// @brief Asks a known VM now, and again whenever the lifetime has passed.
    /// @param onReady called once when the first answer is there or could not be had
    void startRefreshing(std::function<void()> onReady);

    /// @brief The VM for try number `attempt` of request number `request`.
    [[nodiscard]] const http::Endpoint &select(uint64_t request, uint32_t attempt) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::load
