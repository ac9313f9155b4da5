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

/// @brief Response of GET /v1/entry.
struct EntryResponse
{
    std::vector<http::Endpoint> vms;
    Duration lifetime = 10s;
};

/// @brief Parses a response of GET /v1/entry; `vms` is empty if it is invalid.
EntryResponse parseEntry(std::string_view body);

/// @brief Resolves the entry VMs for one API key through GET /v1/entry, and refreshes them when
/// the lifetime of the response ends.
class EntryVmResolver
{
public:
    /// @param configuredVms VMs to query, and to use until a response arrives
    EntryVmResolver(http::EventLoop &loop, http::Client &client,
                    std::vector<http::Endpoint> configuredVms, std::string key);
    ~EntryVmResolver();
    EntryVmResolver(const EntryVmResolver &) = delete;
    EntryVmResolver &operator=(const EntryVmResolver &) = delete;

    /// @brief Queries a configured VM now, and again whenever the lifetime has passed.
    /// @param onReady called once, after the first valid response or after all configured VMs have
    /// been queried without one
    void startRefreshing(std::function<void()> onReady);

    /// @brief The VM for attempt number `attempt` (from 0) of request number `request`.
    [[nodiscard]] const http::Endpoint &select(uint64_t request, uint32_t attempt) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::load
