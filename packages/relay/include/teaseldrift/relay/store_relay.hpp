#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/buffered_client.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/store/store.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

/// @brief Limits and timeouts of the relaying of changes.
struct StoreRelayOptions
{
    /// In smaller fleets each VM polls the store itself: this saves a hop, and the cost of the
    /// calls is small.
    size_t minVmCount = 20;
    /// Longest wait of a relaying VM's calls to the store, so that it soon notices when the store
    /// is unreachable.
    Duration maxStoreWait = 700ms;
    /// Delay between a relaying VM's calls for a prefix that changes all the time.
    Duration pollDelay = 400ms;
    /// Changes are not relayed if the store has not confirmed them for this long: the sum of a
    /// call's longest wait, a delay between calls, and a margin for a slow response.
    Duration maxAge = 1500ms;
    /// Longest time that a query waits for changes.
    Duration maxQueryWait = 800ms;
    /// Time allowed for the network in addition to maxQueryWait.
    Duration roundTripTime = 300ms;
    /// Time for which a VM is not queried after a query to it failed.
    Duration unresponsiveCooldown = 2s;
    /// Time after the last query for which a VM continues to relay changes.
    Duration servingPeriod = 5s;
};

/// @brief Result of a query to another VM.
enum class RelayResult {
    /// The response holds the changes, possibly none.
    Changes,
    /// The VM does not retain all changes since the given revision.
    NotRetained,
    /// No response, or the VM cannot reach the store; it is not queried again during the cooldown.
    Failed,
};

/// @brief How a VM's queries reach the others.
struct StoreRelayTransport
{
    using Respond = std::function<void(int status, std::string body)>;
    using ResponseHandler = std::function<void(const http::BufferedResponse &)>;

    std::function<void(const http::Endpoint &vm, std::string query, Duration timeout,
                       ResponseHandler onResponse)>
            send;
};

/// @brief Relays changes of the store between the VMs of an availability zone.
///
/// The zone's representative, which all VMs determine by rendezvous hashing, polls the store for
/// all of them. A VM whose query fails, or that learns that the representative cannot reach the
/// store, queries the next candidate or polls the store itself.
class StoreRelay
{
public:
    using ReadHandler = std::function<void(std::error_code, const store::StoreSnapshot &)>;
    using RelayHandler = std::function<void(RelayResult, const store::StoreSnapshot &)>;

    /// Queries are sent by HTTP.
    StoreRelay(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
               telemetry::EventLog &log, telemetry::Metrics &metrics,
               StoreRelayOptions options = {});
    StoreRelay(http::EventLoop &loop, StoreRelayTransport transport, FleetState &fleet,
               telemetry::EventLog &log, telemetry::Metrics &metrics, StoreRelayOptions options);
    ~StoreRelay();
    StoreRelay(const StoreRelay &) = delete;
    StoreRelay &operator=(const StoreRelay &) = delete;

    /// @brief Whether this VM should query another one instead of the store.
    [[nodiscard]] bool usesRelay(Instant now) const;

    /// @brief Whether this VM retains changes for others: one of them queried it recently, or it
    /// represents its zone in a fleet of at least `minVmCount` VMs.
    [[nodiscard]] bool servesOthers(Instant now) const;

    /// @brief Queries the relaying VM; call it only while usesRelay() holds.
    void query(const std::string &prefix, uint64_t revision, uint64_t epoch, RelayHandler handler);

    /// @brief Records changes that this VM received from the store.
    /// @param after the revision that the changes follow
    /// @param confirmedAt latest time at which the store can have sent them
    void recordChanges(const std::string &prefix, uint64_t after,
                       const store::StoreSnapshot &changes, Instant confirmedAt);

    /// @brief Records that this VM has not received all changes of a prefix: other VMs that query
    /// them call the store.
    void dropChanges(const std::string &prefix);

    /// @brief Records that a call of this VM to the store failed.
    void markStoreUnavailable(const std::string &prefix, Instant sentAt);

    /// @brief Handles another VM's query; responds at once or when there are changes.
    void handle(const std::shared_ptr<http::Exchange> &exchange);
    void handle(std::string_view query, StoreRelayTransport::Respond respond);

    [[nodiscard]] const StoreRelayOptions &options() const;

    /// Path of the queries between VMs.
    static constexpr std::string_view path = "/teaseldrift/changes";

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
