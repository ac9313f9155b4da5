#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
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
    Duration wait = 10s;
    /// Optional; returns the delay between a response and the next call, which bounds the cost of
    /// prefixes that change often.
    std::function<Duration()> pollDelay;
    /// Delay after a failed call; it doubles with each consecutive failure.
    Duration initialRetryDelay = 100ms;
    Duration maxRetryDelay = 1s;
    /// Age of the newest confirmed response from which onLate is called.
    Duration maxAge = 3s;
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
    /// Optional; called when a call succeeds although what this VM knew was older than `maxAge`,
    /// with that age and the number of calls that failed meanwhile.
    std::function<void(Duration age, int failedCalls)> onLate = nullptr;
};

/// @brief Watches one prefix of a store: reads a snapshot, then polls for the changes after it.
///
/// Retries during outages, and reads a new snapshot if the store has discarded the changes it needs
/// or has returned from an older copy.
template <store::LongPollStore Store>
class PrefixWatcher
{
public:
    PrefixWatcher(http::EventLoop &loop, Store &store, PrefixWatcherOptions options,
                  PrefixWatcherHandlers handlers)
        : m_loop(loop), m_store(store), m_options(std::move(options)),
          m_handlers(std::move(handlers))
    { }

    ~PrefixWatcher() { m_loop.cancelTimer(m_timer); }
    PrefixWatcher(const PrefixWatcher &) = delete;
    PrefixWatcher &operator=(const PrefixWatcher &) = delete;

    void start() { readSnapshot(); }

    /// @brief Whether the last call succeeded.
    [[nodiscard]] bool isConnected() const { return m_isConnected; }

private:
    void readSnapshot()
    {
        m_store.readPrefix(m_options.prefix, store::ReadConsistency::Current,
                           [this, sentAt = http::EventLoop::now()](
                                   std::error_code error, const store::StoreSnapshot &snapshot) {
                               if (error) {
                                   failed(error);
                                   return;
                               }
                               succeeded(sentAt);
                               m_needsSnapshot = false;
                               const bool isRestored
                                       = snapshot.revision < m_revision
                                         || (m_revision > 0 && snapshot.epoch != m_epoch);
                               if (isRestored && m_handlers.onStoreRestored) {
                                   m_handlers.onStoreRestored();
                               }
                               m_revision = snapshot.revision;
                               m_epoch = snapshot.epoch;
                               m_handlers.onSnapshot(snapshot);
                               schedulePoll(pollDelay());
                           });
    }

    void readChanges()
    {
        // A store that is silent may begin to respond at any time: a call that it would hold until
        // there is a change could only time out after that.
        const Duration wait = m_isConnected ? m_options.wait : Duration(0);
        const Instant sentBefore = http::EventLoop::now() + wait;
        m_store.waitForChanges(
                m_options.prefix, m_revision, wait,
                [this, sentBefore](std::error_code error, const store::StoreSnapshot &changes) {
                    if (error == store::StoreError::Compacted) {
                        m_needsSnapshot = true;
                        readSnapshot();
                        return;
                    }
                    if (error) {
                        failed(error);
                        return;
                    }
                    succeeded(std::min(http::EventLoop::now(), sentBefore));
                    if (changes.epoch != m_epoch) {
                        // Revisions of another epoch say nothing about what has
                        // changed since the last call.
                        m_needsSnapshot = true;
                        readSnapshot();
                        return;
                    }
                    m_revision = std::max(m_revision, changes.revision);
                    if (!changes.entries.empty()) {
                        m_handlers.onChanges(changes);
                    }
                    schedulePoll(pollDelay());
                });
    }

    void poll()
    {
        if (m_needsSnapshot) {
            readSnapshot();
        } else {
            readChanges();
        }
    }

    [[nodiscard]] Duration pollDelay() const
    {
        return m_options.pollDelay ? m_options.pollDelay() : Duration(0);
    }

    void schedulePoll(Duration pollDelay)
    {
        m_timer = m_loop.startTimer(pollDelay, [this] { poll(); });
    }

    /// @param confirmedAt time up to which the response holds all changes
    void succeeded(Instant confirmedAt)
    {
        const Duration age = http::EventLoop::now() - m_confirmedAt;
        if (m_confirmedAt != Instant() && age > m_options.maxAge && m_handlers.onLate) {
            m_handlers.onLate(age, m_failedCalls);
        }
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
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
        const Duration pollDelay
                = m_retryDelay == Duration(0) ? m_options.initialRetryDelay : m_retryDelay;
        m_retryDelay = std::min(pollDelay * 2, m_options.maxRetryDelay);
        schedulePoll(pollDelay);
    }

    http::EventLoop &m_loop;
    Store &m_store;
    PrefixWatcherOptions m_options;
    PrefixWatcherHandlers m_handlers;
    uint64_t m_revision = 0;
    uint64_t m_epoch = 0;
    bool m_needsSnapshot = true;
    bool m_isConnected = false;
    Duration m_retryDelay{0};
    /// Time up to which this VM has received all changes.
    Instant m_confirmedAt;
    int m_failedCalls = 0;
    http::EventLoop::TimerId m_timer = 0;
};

} // namespace teaseldrift::relay
