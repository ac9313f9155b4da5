#include "teaseldrift/allowance/token_slice.hpp"

#include <algorithm>

namespace teaseldrift::allowance {

namespace {

constexpr size_t maximumHeadroomEntries = 64;

} // namespace

void TokenSlice::setLimits(const Limits &limits, Instant now)
{
    refill(now);
    m_refilledAt = std::max(m_refilledAt, now);
    m_limits = limits;
    m_level = std::min(m_level, capacity());
    noteHeadroom();
}

void TokenSlice::setShare(ShareUnits share, Instant now)
{
    refill(now);
    // Time that has not yet earned a whole microtoken must not count for the new share.
    m_refilledAt = std::max(m_refilledAt, now);
    m_share = share;
    m_level = std::min(m_level, capacity());
    noteHeadroom();
}

void TokenSlice::deposit(MicroTokens tokens, Instant now)
{
    refill(now);
    m_level = std::min(m_level + std::max<MicroTokens>(tokens, 0), capacity());
    noteHeadroom();
}

bool TokenSlice::spend(MicroTokens tokens, Instant now)
{
    refill(now);
    if (tokens < 0 || tokens > m_level) {
        return false;
    }
    m_level -= tokens;
    ++m_sequence;
    noteHeadroom();
    return true;
}

MicroTokens TokenSlice::refund(uint64_t ticket, MicroTokens tokens, Instant now)
{
    refill(now);
    const auto since
            = std::find_if(m_headroom.begin(), m_headroom.end(),
                           [ticket](const Headroom &entry) { return entry.ticket >= ticket; });
    if (since == m_headroom.end() || tokens <= 0) {
        return 0;
    }
    const MicroTokens added = std::min(tokens, since->tokens);
    m_level += added;
    std::for_each(since, m_headroom.end(), [added](Headroom &entry) { entry.tokens -= added; });
    const MicroTokens least = since->tokens;
    const auto kept = std::find_if(m_headroom.begin(), since, [least](const Headroom &entry) {
        return entry.tokens >= least;
    });
    m_headroom.erase(kept, since);
    return added;
}

MicroTokens TokenSlice::level(Instant now) const
{
    return std::min(capacity(), m_level + earned(m_limits, m_share, now - m_refilledAt));
}

void TokenSlice::refill(Instant now)
{
    const MicroTokens gain = earned(m_limits, m_share, now - m_refilledAt);
    // Without a gain the time keeps adding up.
    if (gain > 0) {
        m_level = std::min(capacity(), m_level + gain);
        m_refilledAt = std::max(m_refilledAt, now);
        noteHeadroom();
    }
}

void TokenSlice::noteHeadroom()
{
    const MicroTokens headroom = capacity() - m_level;
    while (!m_headroom.empty() && m_headroom.back().tokens >= headroom) {
        m_headroom.pop_back();
    }
    if (!m_headroom.empty() && m_headroom.back().ticket == m_sequence) {
        return;
    }
    m_headroom.push_back({m_sequence, headroom});
    if (m_headroom.size() > maximumHeadroomEntries) {
        boundHeadroom();
    }
}

/// Merges neighbours in pairs; the lower headroom holds for both.
void TokenSlice::boundHeadroom()
{
    std::vector<Headroom> merged;
    for (size_t i = 0; i + 1 < m_headroom.size(); i += 2) {
        merged.push_back({m_headroom[i + 1].ticket, m_headroom[i].tokens});
    }
    if (m_headroom.size() % 2 != 0) {
        merged.push_back(m_headroom.back());
    }
    m_headroom = std::move(merged);
}

} // namespace teaseldrift::allowance
