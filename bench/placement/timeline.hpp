#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::bench {

/// @brief Runs actions in virtual time; actions of the same instant run in the order in which they
/// were added.
class Timeline
{
public:
    Instant now() const { return m_now; }

    void at(Instant when, std::function<void()> action)
    {
        m_pending.push({std::max(when, m_now), m_nextSequence++, std::move(action)});
    }

    void after(Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    void runUntil(Instant end)
    {
        while (!m_pending.empty() && m_pending.top().when <= end) {
            // top() gives const access only. Moving is safe, since the entry is removed right
            // after.
            Entry entry = std::move(const_cast<Entry &>(m_pending.top()));
            m_pending.pop();
            m_now = entry.when;
            entry.action();
        }
        m_now = std::max(m_now, end);
    }

private:
    struct Entry
    {
        Instant when{};
        uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Entry &other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    Instant m_now{};
    uint64_t m_nextSequence = 0;
    std::priority_queue<Entry> m_pending;
};

} // namespace teaseldrift::bench
