#pragma once

#include <cstdint>
#include <vector>

#include "teaseldrift/allowance/tokens.hpp"
#include "teaseldrift/base/time.hpp"

namespace teaseldrift::allowance {

/// @brief One VM's part of an organisation's token bucket.
///
/// Its capacity and its refill rate are the organisation's burst and rate, scaled by a share.
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

    /// @brief Changes the share. The level is kept, limited to the new capacity.
    void setShare(ShareUnits share, Instant now);

    /// @brief Adds tokens transferred from another VM's bucket, up to the capacity.
    void deposit(MicroTokens tokens, Instant now);

    /// @brief Removes tokens if the level suffices.
    /// @return whether they were removed
    bool spend(MicroTokens tokens, Instant now);

    /// @brief Sequence number of the last successful spend().
    [[nodiscard]] uint64_t sequence() const { return m_sequence; }

    /// @brief Returns tokens of an earlier spend().
    ///
    /// The level becomes at most what it would be had the tokens never been spent: tokens that
    /// would have overflowed the capacity since then are not returned. Otherwise a late refund into
    /// a refilled bucket would allow more than burst and rate.
    /// @param sequence value of sequence() after that spend()
    /// @return tokens added
    MicroTokens refund(uint64_t sequence, MicroTokens tokens, Instant now);

    [[nodiscard]] MicroTokens level(Instant now) const;
    [[nodiscard]] MicroTokens capacity() const { return capacityOf(m_limits, m_share); }
    [[nodiscard]] ShareUnits share() const { return m_share; }
    [[nodiscard]] const Limits &limits() const { return m_limits; }

private:
    /// Minimum free capacity since a spend.
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
    /// Strictly ascending in both fields. An entry applies to the sequence numbers after the
    /// previous entry's, up to and including its own.
    std::vector<Headroom> m_headroom;

    void refill(Instant now);
    void updateHeadroom();
    void mergeHeadroom();
};

} // namespace teaseldrift::allowance
