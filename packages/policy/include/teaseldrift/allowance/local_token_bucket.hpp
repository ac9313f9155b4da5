#pragma once

#include <cstdint>
#include <vector>

#include "teaseldrift/allowance/tokens.hpp"
#include "teaseldrift/base/time.hpp"

namespace teaseldrift::allowance {

/// @brief One VM's part of an organisation's token bucket: a share, and a level of at most the
/// share's capacity that grows by the share's part of the rate.
///
/// ```cpp
/// LocalTokenBucket bucket;
/// bucket.setLimits(limits, now);
/// bucket.setShare(wholeShare / 2, now);
/// if (bucket.spend(cost, now)) {
///     const uint64_t sequence = bucket.sequence();
///     bucket.refund(sequence, unused, later);
/// }
/// ```
class LocalTokenBucket
{
public:
    void setLimits(const Limits &limits, Instant now);

    /// @brief Changes the share. The level stays, up to the new capacity.
    void setShare(ShareUnits share, Instant now);

    /// @brief Adds tokens that came from another bucket, up to the capacity.
    void deposit(MicroTokens tokens, Instant now);

    /// @brief Takes tokens out if the level holds them.
    bool spend(MicroTokens tokens, Instant now);

    /// @brief Names the moment after the last spend().
    [[nodiscard]] uint64_t sequence() const { return m_sequence; }

    /// @brief Returns tokens spent earlier.
    ///
    /// Adds no more than the level would hold had the tokens never been spent: what would have
    /// been lost to the capacity since then stays lost. Otherwise a late refund on top of a
    /// refilled bucket would allow more than burst and rate.
    /// @return tokens added
    MicroTokens refund(uint64_t sequence, MicroTokens tokens, Instant now);

    [[nodiscard]] MicroTokens level(Instant now) const;
    [[nodiscard]] MicroTokens capacity() const { return capacityOf(m_limits, m_share); }
    [[nodiscard]] ShareUnits share() const { return m_share; }
    [[nodiscard]] const Limits &limits() const { return m_limits; }

private:
    /// Least free capacity between two tickets.
    struct Headroom
    {
        uint64_t sequence;
        MicroTokens tokens;
    };

    Limits m_limits;
    ShareUnits m_share = 0;
    MicroTokens m_level = 0;
    Instant m_refilledAt{};
    uint64_t m_sequence = 0;
    /// Grows in both members; an entry holds for its ticket and those after the entry before.
    std::vector<Headroom> m_headroom;

    void refill(Instant now);
    void updateHeadroom();
    void mergeHeadroom();
};

} // namespace teaseldrift::allowance
