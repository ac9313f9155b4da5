#pragma once

#include <algorithm>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "teaseldrift/relay/store_relay.hpp"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::relay {

/// @brief A store whose changes may be received through another VM.
///
/// Models store::LongPollStore. Calls other than waitForChanges() go to the store itself.
template <store::LongPollStore Store>
class RelayedStore
{
public:
    using ReadHandler = StoreRelay::ReadHandler;

    RelayedStore(Store &store, StoreRelay &relay) : m_store(store), m_relay(relay) { }

    void readPrefix(std::string_view prefix, store::ReadConsistency consistency,
                    ReadHandler handler)
    {
        m_store.readPrefix(prefix, consistency,
                           [this, handler = std::move(handler)](
                                   std::error_code error, const store::StoreSnapshot &snapshot) {
                               m_epoch = std::max(m_epoch, snapshot.epoch);
                               handler(error, snapshot);
                           });
    }

    void waitForChanges(std::string_view prefix, uint64_t revision, Duration wait,
                        ReadHandler handler)
    {
        queryRelays(std::string(prefix), revision, wait, maxRelayAttempts, std::move(handler));
    }

    /// @brief Reads changes from the store itself, without waiting for any.
    void readChanges(std::string_view prefix, uint64_t revision, ReadHandler handler)
    {
        queryStore(std::string(prefix), revision, Duration(0), std::move(handler));
    }

    void closeIdleConnections() { m_store.closeIdleConnections(); }

    [[nodiscard]] bool isReceiving(std::string_view prefix) const
    {
        return m_store.isReceiving(prefix);
    }

    /// @brief Whether followChanges() costs no call of this VM, or serves other VMs.
    [[nodiscard]] bool relaysChanges() const
    {
        const Instant now = http::EventLoop::now();
        return m_relay.usesRelay(now) || m_relay.servesOthers(now);
    }

    /// @brief Like waitForChanges(), but a VM to which another one relays changes does not call the
    /// store itself: it gets StoreError::Unavailable if the other VM cannot relay them.
    void followChanges(std::string_view prefix, uint64_t revision, Duration wait,
                       ReadHandler handler)
    {
        if (!m_relay.usesRelay(http::EventLoop::now())) {
            queryStore(std::string(prefix), revision, wait, std::move(handler));
            return;
        }
        m_relay.query(std::string(prefix), revision, m_epoch,
                      [handler = std::move(handler)](RelayResult end,
                                                     const store::StoreSnapshot &changes) {
                          handler(end == RelayResult::Changes ? std::error_code()
                                                              : store::StoreError::Unavailable,
                                  changes);
                      });
    }

    void write(std::span<const store::StoreWrite> writes,
               std::function<void(store::StoreWriteResult)> handler)
    {
        m_store.write(writes, std::move(handler));
    }

    void grantLease(Duration ttl, std::function<void(std::error_code, uint64_t)> handler)
    {
        m_store.grantLease(ttl, std::move(handler));
    }

    void renewLease(uint64_t lease, std::function<void(std::error_code)> handler)
    {
        m_store.renewLease(lease, std::move(handler));
    }

    void revokeLease(uint64_t lease) { m_store.revokeLease(lease); }

    /// @brief Delay before the next call for a prefix that changes often.
    /// @param directDelay delay of a VM that polls the store for itself only
    [[nodiscard]] Duration pollDelay(Duration directDelay) const
    {
        return relaysChanges() ? std::min(directDelay, m_relay.options().pollDelay) : directDelay;
    }

private:
    /// Number of VMs that are queried in turn before the store: if the first cannot reach the
    /// store, the next one may. More attempts would take too long.
    static constexpr int maxRelayAttempts = 2;

    /// After a query that failed later than this, the store is called at once: the time-outs of
    /// several VMs would add up to more than the time in which a change must be in force.
    static constexpr Duration maxFailoverTime = 300ms;

    void queryRelays(const std::string &prefix, uint64_t revision, Duration wait, int attemptsLeft,
                     ReadHandler handler)
    {
        if (attemptsLeft == 0 || !m_relay.usesRelay(http::EventLoop::now())) {
            queryStore(prefix, revision, wait, std::move(handler));
            return;
        }
        const Instant startedAt = http::EventLoop::now();
        m_relay.query(prefix, revision, m_epoch,
                      [this, prefix, revision, wait, attemptsLeft, startedAt,
                       handler = std::move(handler)](RelayResult end,
                                                     const store::StoreSnapshot &changes) {
                          const bool isLate = http::EventLoop::now() - startedAt > maxFailoverTime;
                          switch (end) {
                          case RelayResult::Changes:
                              handler({}, changes);
                              return;
                          case RelayResult::NotRetained:
                              queryStore(prefix, revision, wait, handler);
                              return;
                          case RelayResult::Failed:
                              queryRelays(prefix, revision, wait, isLate ? 0 : attemptsLeft - 1,
                                          handler);
                              return;
                          }
                      });
    }

    void queryStore(const std::string &prefix, uint64_t revision, Duration wait,
                    ReadHandler handler)
    {
        const Duration maxWait = m_relay.servesOthers(http::EventLoop::now())
                                         ? std::min(wait, m_relay.options().maxStoreWait)
                                         : wait;
        // A response is read later if this VM was suspended meanwhile.
        const Instant sentAt = http::EventLoop::now();
        const Instant sentBefore = sentAt + maxWait;
        m_store.waitForChanges(
                prefix, revision, maxWait,
                [this, prefix, revision, sentAt, sentBefore, handler = std::move(handler)](
                        std::error_code error, const store::StoreSnapshot &changes) {
                    m_epoch = std::max(m_epoch, changes.epoch);
                    if (error == store::StoreError::Compacted) {
                        // The store has responded; the others get the changes from it.
                        m_relay.dropChanges(prefix);
                    } else if (error) {
                        m_relay.markStoreUnavailable(prefix, sentAt);
                    } else {
                        const bool isAgeKnown = changes.confirmedAt != Instant();
                        m_relay.recordChanges(
                                prefix, revision, changes,
                                isAgeKnown ? changes.confirmedAt
                                           : std::min(http::EventLoop::now(), sentBefore));
                    }
                    handler(error, changes);
                });
    }

    Store &m_store;
    StoreRelay &m_relay;
    /// Newest epoch that a response of the store showed.
    uint64_t m_epoch = 0;
};

} // namespace teaseldrift::relay
