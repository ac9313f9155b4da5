#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/store/store.hpp"
#include "teaseldrift/telemetry/event_log.hpp"
#include "teaseldrift/telemetry/metrics.hpp"

namespace teaseldrift::relay {

/// @brief Bounds of the passing on of changes.
struct StoreRelayOptions
{
    /// Smaller fleets ask the store themselves: one step less, at a price that matters little.
    size_t minVmCount = 20;
    /// A VM that asks for others asks the store at least this often, so that it knows soon when it
    /// cannot.
    Duration maxStoreWait = 700ms;
    /// Pause between its calls for a prefix that always has changes.
    Duration pollDelay = 400ms;
    /// What the store has not confirmed for this long is not passed on: a call's longest wait, a
    /// pause, and time for a slow answer.
    Duration maxAge = 1500ms;
    /// Longest time that a question waits for changes.
    Duration maxQueryWait = 800ms;
    /// Time for the way there and back beside that.
    Duration roundTripTime = 300ms;
    /// A VM that had no answer is not asked again for this long.
    Duration unresponsiveCooldown = 2s;
    /// A VM goes on asking for others for this long after the last question.
    Duration servingPeriod = 5s;
};

/// @brief What became of a question to another VM.
enum class RelayResult {
    /// The changes; there may be none yet.
    Changes,
    /// The VM does not keep all that was asked for.
    NotRetained,
    /// No answer, or the VM cannot reach the store: it is not asked again for a while.
    Failed,
};

/// @brief Passes changes of the store on between the VMs of an availability zone.
///
/// One VM asks the store for all of them, the same by every VM's reckoning. Whoever gets no answer
/// from it, or hears that it cannot reach the store, asks the store itself.
class StoreRelay
{
public:
    using ReadHandler = std::function<void(std::error_code, const store::StoreSnapshot &)>;
    using RelayHandler = std::function<void(RelayResult, const store::StoreSnapshot &)>;

    StoreRelay(http::EventLoop &loop, http::Client &peers, FleetState &fleet,
               telemetry::EventLog &log, telemetry::Metrics &metrics,
               StoreRelayOptions options = {});
    ~StoreRelay();
    StoreRelay(const StoreRelay &) = delete;
    StoreRelay &operator=(const StoreRelay &) = delete;

    /// @brief Whether another VM is to be asked now.
    [[nodiscard]] bool usesRelay(Instant now) const;

    /// @brief Whether other VMs ask this one.
    [[nodiscard]] bool servesOthers(Instant now) const;

    /// @brief Asks the other VM; only while usesRelay().
    void query(const std::string &prefix, uint64_t revision, RelayHandler handler);

    /// @brief Takes what the store has answered this VM.
    /// @param after the revision that was asked for
    void recordChanges(const std::string &prefix, uint64_t after,
                       const store::StoreSnapshot &changes);

    /// @brief The store did not answer this VM.
    void markStoreUnavailable(const std::string &prefix);

    /// @brief Answers another VM's question, at once or when there are changes.
    void handle(const std::shared_ptr<http::Exchange> &exchange);

    [[nodiscard]] const StoreRelayOptions &options() const;

    /// Path of the questions between VMs.
    static constexpr std::string_view path = "/teaseldrift/changes";

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::relay
