#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::relay {

/// @brief This VM's record in the store, held under a lease that is renewed while the process runs.
template <store::LongPollStore Store>
class LeasedRecord
{
public:
    struct Options
    {
        std::string key;
        Duration ttl = 3s;
        Duration renewInterval = 1s;
        /// Delay after a failed call; it doubles with each consecutive failure.
        Duration retryDelay = 300ms;
        Duration maxRetryDelay = 1200ms;
        /// Optional; the record is in the store under a lease that was granted or renewed by a call
        /// sent at `sentAt`.
        std::function<void(Instant sentAt, Duration ttl)> onRenewed = {};
    };

    LeasedRecord(http::EventLoop &loop, Store &store, Options options)
        : m_loop(loop), m_store(store), m_options(std::move(options))
    { }

    ~LeasedRecord() { m_loop.cancelTimer(m_timer); }
    LeasedRecord(const LeasedRecord &) = delete;
    LeasedRecord &operator=(const LeasedRecord &) = delete;

    /// @brief Writes the record now, and again whenever its lease had expired and a new one was
    /// granted.
    void set(std::string value)
    {
        m_value = std::move(value);
        m_isWritten = false;
        m_loop.cancelTimer(m_timer);
        step();
    }

    /// @brief Sets the lease's time to live and the interval of its renewals. The record moves to a
    /// new lease at its next renewal.
    void setTimes(Duration ttl, Duration renewInterval)
    {
        m_options.ttl = ttl;
        m_options.renewInterval = renewInterval;
    }

private:
    void step()
    {
        if (m_lease == 0 || m_leaseTtl != m_options.ttl) {
            grant();
        } else if (!m_isWritten) {
            write();
        } else {
            renew();
        }
    }

    void scheduleStep(Duration delay)
    {
        m_loop.cancelTimer(m_timer);
        m_timer = m_loop.startTimer(delay, [this] { step(); });
    }

    void scheduleRetry()
    {
        m_nextRetryDelay = std::max(m_nextRetryDelay, m_options.retryDelay);
        scheduleStep(m_nextRetryDelay);
        m_nextRetryDelay = std::min(2 * m_nextRetryDelay, m_options.maxRetryDelay);
    }

    void grant()
    {
        m_store.grantLease(m_options.ttl,
                           [this, sentAt = http::EventLoop::now(),
                            ttl = m_options.ttl](std::error_code error, uint64_t lease) {
                               if (error) {
                                   scheduleRetry();
                                   return;
                               }
                               m_lease = lease;
                               m_leaseTtl = ttl;
                               m_renewedAt = sentAt;
                               m_isWritten = false;
                               write();
                           });
    }

    void write()
    {
        // Unconditional, since only this VM writes the key and an earlier incarnation may have left
        // a record.
        const std::array<store::StoreWrite, 1> writes{store::StoreWrite{
                .key = m_options.key, .value = m_value, .isUnconditional = true, .lease = m_lease}};
        m_store.write(writes, [this](store::StoreWriteResult result) {
            if (result.outcome == store::StoreOutcome::Written) {
                m_isWritten = true;
                notifyRenewed();
                scheduleStep(m_options.renewInterval);
                return;
            }
            if (result.outcome == store::StoreOutcome::LeaseExpired) {
                m_lease = 0;
            }
            scheduleRetry();
        });
    }

    void renew()
    {
        m_store.renewLease(m_lease, [this, sentAt = http::EventLoop::now()](std::error_code error) {
            if (error == store::StoreError::LeaseExpired) {
                m_lease = 0;
                step();
                return;
            }
            if (!error) {
                m_renewedAt = sentAt;
                notifyRenewed();
            }
            if (error) {
                scheduleRetry();
            } else {
                scheduleStep(m_options.renewInterval);
            }
        });
    }

    void notifyRenewed()
    {
        m_nextRetryDelay = Duration(0);
        if (m_options.onRenewed) {
            m_options.onRenewed(m_renewedAt, m_leaseTtl);
        }
    }

    http::EventLoop &m_loop;
    Store &m_store;
    Options m_options;
    std::string m_value;
    uint64_t m_lease = 0;
    Duration m_leaseTtl{0};
    Instant m_renewedAt;
    Duration m_nextRetryDelay{0};
    bool m_isWritten = false;
    http::EventLoop::TimerId m_timer = 0;
};

} // namespace teaseldrift::relay
