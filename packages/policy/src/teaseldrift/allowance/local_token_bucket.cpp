#include "teaseldrift/allowance/local_token_bucket.hpp"

#include <algorithm>

namespace teaseldrift::allowance {

namespace {

constexpr size_t maximumHeadroomEntries = 64;

} // namespace

void LocalTokenBucket::setLimits(const Limits &limits, Instant now)
{
    refill(now);
    m_refilledAt = std::max(m_refilledAt, now);
    m_limits = limits;
    m_level = std::min(m_level, capacity());
    updateHeadroom();
}

void LocalTokenBucket::setShare(ShareUnits share, Instant now)
{
    refill(now);
    // Time that has not yet accrued a whole microtoken must not count towards the new share.
    m_refilledAt = std::max(m_refilledAt, now);
    m_share = share;
    m_level = std::min(m_level, capacity());
    updateHeadroom();
}

void LocalTokenBucket::deposit(MicroTokens tokens, Instant now)
{
    refill(now);
    m_level = std::min(m_level + std::max<MicroTokens>(tokens, 0), capacity());
    updateHeadroom();
}

bool LocalTokenBucket::spend(MicroTokens tokens, Instant now)
{
    refill(now);
    if (tokens < 0 || tokens > m_level) {
        return false;
    }
    m_level -= tokens;
    ++m_sequence;
    updateHeadroom();
    return true;
}

MicroTokens LocalTokenBucket::refund(uint64_t sequence, MicroTokens tokens, Instant now)
{
    refill(now);
    const auto firstAffected
            = std::find_if(m_headroom.begin(), m_headroom.end(), [sequence](const Headroom &entry) {
                  return entry.sequence >= sequence;
              });
    if (firstAffected == m_headroom.end() || tokens <= 0) {
        return 0;
    }
    const MicroTokens added = std::min(tokens, firstAffected->tokens);
    m_level += added;
    std::for_each(firstAffected, m_headroom.end(),
                  [added](Headroom &entry) { entry.tokens -= added; });
    const MicroTokens remaining = firstAffected->tokens;
    const auto kept
            = std::find_if(m_headroom.begin(), firstAffected, [remaining](const Headroom &entry) {
                  return entry.tokens >= remaining;
              });
    m_headroom.erase(kept, firstAffected);
    return added;
}

MicroTokens LocalTokenBucket::level(Instant now) const
{
    return std::min(capacity(), m_level + accruedTokens(m_limits, m_share, now - m_refilledAt));
}

void LocalTokenBucket::refill(Instant now)
{
    const MicroTokens accrued = accruedTokens(m_limits, m_share, now - m_refilledAt);
    // Otherwise the time is kept until it accrues at least one microtoken.
    if (accrued > 0) {
        m_level = std::min(capacity(), m_level + accrued);
        m_refilledAt = std::max(m_refilledAt, now);
        updateHeadroom();
    }
}

void LocalTokenBucket::updateHeadroom()
{
    const MicroTokens headroom = capacity() - m_level;
    while (!m_headroom.empty() && m_headroom.back().tokens >= headroom) {
        m_headroom.pop_back();
    }
    if (!m_headroom.empty() && m_headroom.back().sequence == m_sequence) {
        return;
    }
    m_headroom.push_back({m_sequence, headroom});
    if (m_headroom.size() > maximumHeadroomEntries) {
        mergeHeadroom();
    }
}

/// Halves the number of entries by merging adjacent pairs. The merged entry has the lower headroom
/// of the two, so refunds stay within the limit.
void LocalTokenBucket::mergeHeadroom()
{
    std::vector<Headroom> merged;
    for (size_t i = 0; i + 1 < m_headroom.size(); i += 2) {
        merged.push_back({m_headroom[i + 1].sequence, m_headroom[i].tokens});
    }
    if (m_headroom.size() % 2 != 0) {
        merged.push_back(m_headroom.back());
    }
    m_headroom = std::move(merged);
}

} // namespace teaseldrift::allowance
