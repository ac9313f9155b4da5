#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::relay {

/// @brief Settings of a PrefixWatcher.
struct PrefixWatcherOptions
{
    std::string prefix;
    /// Longest time that the store holds a call until there is a change. After a failed call, calls
    /// are not held until one succeeds.
    Duration wait = 1500ms;
    /// Optional; returns the delay between a response and the next call, which bounds the cost of
    /// prefixes that change often.
    std::function<Duration()> pollDelay;
    /// Delay after a failed call; it doubles with each consecutive failure. Also the shortest time
    /// from one snapshot to the next if the store has discarded the changes after it.
    Duration initialRetryDelay = 100ms;
    Duration maxRetryDelay = 1s;
    /// Factor of the delays after failed calls and of `searchInterval`, at most 1; different for
    /// each VM, so that VMs whose calls were refused together do not call together again.
    double retryDelayFactor = 1.0;
    /// Age of what is known from which on the watcher no longer waits for the call under way; more
    /// than `wait`, the delay between calls and a response's travel time together.
    Duration maxAge = 2s;
    /// Interval of the calls that are then made side by side.
    Duration searchInterval = 1s;
};

/// @brief Callbacks of a PrefixWatcher.
struct PrefixWatcherHandlers
{
    /// Optional; called before onSnapshot if the store has returned from an older copy: the
    /// snapshot may lack recent changes until they are written again.
    std::function<void()> onStoreRestored = nullptr;
    /// Receives all entries of the prefix; entries missing from the snapshot no longer exist.
    std::function<void(const store::StoreSnapshot &)> onSnapshot;
    /// Receives the changes since the last call.
    std::function<void(const store::StoreSnapshot &)> onChanges;
    /// Called when a call fails after a successful one.
    std::function<void(std::error_code)> onDisconnected;
    /// Called when the first call succeeds, and when one succeeds after a failed one.
    std::function<void()> onReconnected;
    /// Optional; called after a response has been applied, with the time up to which all changes
    /// are known, and the VM that passed the response on, if one did.
    std::function<void(Instant confirmedAt, std::string_view relayedBy)> onConfirmed = nullptr;
    /// Optional; called when a call succeeds although what this VM knew was older than `maxAge`,
    /// with that age and the number of calls that failed meanwhile.
    std::function<void(Duration age, int failedCalls)> onLate = nullptr;
};

/// @brief Watches one prefix of a store: reads a snapshot, then polls for the changes after it.
///
/// Retries during outages, and reads a new snapshot if the store has discarded the changes it needs
/// or has returned from an older copy.
///
/// What it knows is older than `maxAge` only while no call can succeed: from then on it starts a
/// call each `searchInterval`, by turns at the store itself and as usual, whatever is under way.
/// The first response counts.
template <store::LongPollStore Store>
class PrefixWatcher
{
public:
    PrefixWatcher(http::EventLoop &loop, Store &store, PrefixWatcherOptions options,
                  PrefixWatcherHandlers handlers)
        : m_loop(loop), m_store(store), m_options(std::move(options)),
          m_handlers(std::move(handlers))
    { }

    ~PrefixWatcher()
    {
        m_loop.cancelTimer(m_callTimer);
        m_loop.cancelTimer(m_searchTimer);
    }
    PrefixWatcher(const PrefixWatcher &) = delete;
    PrefixWatcher &operator=(const PrefixWatcher &) = delete;

    void start()
    {
        scheduleSearch(http::EventLoop::now() + m_options.maxAge);
        readSnapshot();
    }

    /// @brief Whether the last call succeeded.
    [[nodiscard]] bool isConnected() const { return m_isConnected; }

private:
    using ReadHandler = std::function<void(std::error_code, const store::StoreSnapshot &)>;

    /// Interval at which a response that is being received is checked for having stalled.
    static constexpr Duration receivingCheckInterval = 100ms;

    void readSnapshot()
    {
        m_snapshotStartedAt = http::EventLoop::now();
        m_store.readPrefix(m_options.prefix, store::ReadConsistency::Current,
                           [this, round = m_round, sentAt = http::EventLoop::now()](
                                   std::error_code error, const store::StoreSnapshot &snapshot) {
                               if (!isAwaited(round, error)) {
                                   return;
                               }
                               succeeded(sentAt);
                               applySnapshot(snapshot);
                               confirm(snapshot);
                               scheduleCall(pollDelay());
                           });
    }

    void applySnapshot(const store::StoreSnapshot &snapshot)
    {
        m_needsSnapshot = false;
        const bool isRestored
                = snapshot.revision < m_revision || (m_revision > 0 && snapshot.epoch != m_epoch);
        if (isRestored && m_handlers.onStoreRestored) {
            m_handlers.onStoreRestored();
        }
        m_revision = snapshot.revision;
        m_epoch = snapshot.epoch;
        m_handlers.onSnapshot(snapshot);
    }

    void readChanges()
    {
        // A store that is silent may begin to respond at any time: a call that it would hold until
        // there is a change could only time out after that.
        const Duration wait = m_isConnected && !m_isSearching ? m_options.wait : Duration(0);
        m_store.waitForChanges(m_options.prefix, m_revision, wait, changesHandler(wait));
    }

    /// Calls the store itself, not another VM.
    void readChangesDirectly()
    {
        if constexpr (store::DirectStore<Store>) {
            m_store.readChanges(m_options.prefix, m_revision, changesHandler(Duration(0)));
        } else {
            readChanges();
        }
    }

    ReadHandler changesHandler(Duration wait)
    {
        return [this, round = m_round, sentBefore = http::EventLoop::now() + wait](
                       std::error_code error, const store::StoreSnapshot &changes) {
            if (error == store::StoreError::Compacted && round == m_round) {
                m_needsSnapshot = true;
                // The store may have no changes after the next snapshot either.
                scheduleCall(m_snapshotStartedAt + m_options.initialRetryDelay
                             - http::EventLoop::now());
                return;
            }
            if (!isAwaited(round, error)) {
                return;
            }
            const bool isAgeKnown = changes.confirmedAt != Instant();
            succeeded(std::min(http::EventLoop::now(),
                               isAgeKnown ? changes.confirmedAt : sentBefore));
            if (changes.epoch != m_epoch) {
                // Revisions of another epoch say nothing about what has changed since the last
                // call.
                m_needsSnapshot = true;
                readSnapshot();
                return;
            }
            m_revision = std::max(m_revision, changes.revision);
            if (!changes.entries.empty()) {
                m_handlers.onChanges(changes);
            }
            confirm(changes);
            scheduleCall(pollDelay());
        };
    }

    void confirm(const store::StoreSnapshot &response)
    {
        if (m_handlers.onConfirmed) {
            m_handlers.onConfirmed(m_confirmedAt, response.relayedBy);
        }
    }

    /// Handles a failed call, and one that was made before the newest response arrived.
    /// @return whether the response counts
    bool isAwaited(uint64_t round, std::error_code error)
    {
        if (round != m_round) {
            return false;
        }
        if (error) {
            failed(error);
            return false;
        }
        return true;
    }

    void call()
    {
        if (m_needsSnapshot) {
            readSnapshot();
        } else {
            readChanges();
        }
    }

    void search()
    {
        if constexpr (store::DirectStore<Store>) {
            // Another call would take a part of the link from it.
            if (m_store.isReceiving(m_options.prefix)) {
                scheduleSearch(http::EventLoop::now() + receivingCheckInterval);
                return;
            }
        }
        m_isSearching = true;
        m_loop.cancelTimer(m_callTimer);
        if constexpr (store::DirectStore<Store>) {
            // They may be silent: each call over one of them would time out.
            m_store.closeIdleConnections();
        }
        m_isDirectCall = !m_isDirectCall;
        if (m_needsSnapshot || !m_isDirectCall) {
            call();
        } else {
            readChangesDirectly();
        }
        scheduleSearch(http::EventLoop::now() + spread(m_options.searchInterval));
    }

    [[nodiscard]] Duration pollDelay() const
    {
        return m_options.pollDelay ? m_options.pollDelay() : Duration(0);
    }

    [[nodiscard]] Duration spread(Duration delay) const
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(delay.count())
                                                   * m_options.retryDelayFactor));
    }

    void scheduleCall(Duration delay)
    {
        m_loop.cancelTimer(m_callTimer);
        m_callTimer = m_loop.startTimer(delay, [this] { call(); });
    }

    void scheduleSearch(Instant at)
    {
        m_loop.cancelTimer(m_searchTimer);
        m_searchTimer = m_loop.startTimer(at - http::EventLoop::now(), [this] { search(); });
    }

    /// @param confirmedAt time up to which the response holds all changes
    void succeeded(Instant confirmedAt)
    {
        const Duration age = http::EventLoop::now() - m_confirmedAt;
        if (m_confirmedAt != Instant() && age > m_options.maxAge && m_handlers.onLate) {
            m_handlers.onLate(age, m_failedCalls);
        }
        ++m_round;
        m_isSearching = false;
        m_isDirectCall = false;
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
        scheduleSearch(m_confirmedAt + m_options.maxAge);
        m_failedCalls = 0;
        m_retryDelay = m_options.initialRetryDelay;
        if (!m_isConnected) {
            m_isConnected = true;
            m_handlers.onReconnected();
        }
    }

    void failed(std::error_code error)
    {
        ++m_failedCalls;
        if (m_isConnected) {
            m_isConnected = false;
            m_handlers.onDisconnected(error);
        }
        if (m_isSearching) {
            return;
        }
        const Duration delay
                = m_retryDelay == Duration(0) ? m_options.initialRetryDelay : m_retryDelay;
        m_retryDelay = std::min(delay * 2, m_options.maxRetryDelay);
        scheduleCall(spread(delay));
    }

    http::EventLoop &m_loop;
    Store &m_store;
    PrefixWatcherOptions m_options;
    PrefixWatcherHandlers m_handlers;
    uint64_t m_revision = 0;
    uint64_t m_epoch = 0;
    bool m_needsSnapshot = true;
    bool m_isConnected = false;
    /// What this VM knows is older than `maxAge`.
    bool m_isSearching = false;
    /// The newest call of the search went to the store itself.
    bool m_isDirectCall = false;
    /// Number of responses that counted; calls made before the newest of them no longer do.
    uint64_t m_round = 0;
    Duration m_retryDelay{0};
    /// Time up to which this VM has received all changes.
    Instant m_confirmedAt;
    int m_failedCalls = 0;
    Instant m_snapshotStartedAt;
    http::EventLoop::TimerId m_callTimer = 0;
    http::EventLoop::TimerId m_searchTimer = 0;
};

} // namespace teaseldrift::relay
