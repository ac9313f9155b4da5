#include "teaseldrift/allowance/token_slice.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift::allowance {

TEST_CASE("allowance: a slice earns its share of the rate up to its share of the burst")
{
    const Limits limits = limitsFromTokens(1000, 5000);
    TokenSlice slice;
    Instant now{};
    slice.setLimits(limits, now);
    slice.setShare(wholeShare / 2, now);
    CHECK(slice.level(now + 1s) == 500 * microTokensPerToken);
    CHECK(slice.level(now + 3600s) == 2500 * microTokensPerToken);
    CHECK_FALSE(slice.spend(501 * microTokensPerToken, now + 1s));
    CHECK(slice.spend(500 * microTokensPerToken, now + 1s));
}

TEST_CASE("allowance: a late refund brings back no more than would still be there")
{
    const Limits limits = limitsFromTokens(1000, 1000);
    TokenSlice slice;
    Instant now{};
    slice.setLimits(limits, now);
    slice.setShare(wholeShare, now);
    now += 1s;
    REQUIRE(slice.spend(1000 * microTokensPerToken, now));
    const uint64_t ticket = slice.ticket();
    CHECK(slice.refund(ticket, 100 * microTokensPerToken, now) == 100 * microTokensPerToken);
    now += 10s;
    REQUIRE(slice.spend(800 * microTokensPerToken, now));
    CHECK(slice.refund(ticket, 500 * microTokensPerToken, now) == 0);
}

TEST_CASE("allowance: rounding of shares never makes tokens", "[fuzz]")
{
    REQUIRE(rc::check("capacities of parts sum to at most the whole", [] {
        const Limits limits{.rate = *rc::gen::inRange<int64_t>(1, int64_t{1} << 50),
                            .burst = *rc::gen::inRange<int64_t>(1, int64_t{1} << 50)};
        const ShareUnits part = *rc::gen::inRange<ShareUnits>(0, wholeShare + 1);
        const Duration time(*rc::gen::inRange<int64_t>(0, 1'000'000'000));
        const MicroTokens all = earned(limits, wholeShare, time);
        RC_ASSERT(capacityOf(limits, part) + capacityOf(limits, wholeShare - part) <= limits.burst);
        RC_ASSERT(earned(limits, part, time) + earned(limits, wholeShare - part, time) <= all);
        const MicroTokens tokens = *rc::gen::inRange<int64_t>(0, limits.burst + 1);
        RC_ASSERT(capacityOf(limits, shareHolding(limits, tokens)) >= tokens);
    }));
}

TEST_CASE("allowance: refunds keep net spending within rate and burst", "[fuzz]")
{
    REQUIRE(rc::check("net spending of a slice", [] {
        const Limits limits = limitsFromTokens(1000, 1000);
        struct Spent
        {
            Instant at;
            MicroTokens net;
            uint64_t ticket;
        };
        std::vector<Spent> spent;
        TokenSlice slice;
        Instant now{};
        slice.setLimits(limits, now);
        slice.setShare(wholeShare, now);
        const size_t steps = *rc::gen::inRange<size_t>(1, 200);
        for (size_t i = 0; i < steps; ++i) {
            now += Duration(*rc::gen::inRange<int64_t>(0, 400'000));
            const MicroTokens tokens = *rc::gen::inRange<int64_t>(1, 1'000'000'000);
            if (*rc::gen::arbitrary<bool>() && slice.spend(tokens, now)) {
                spent.push_back({now, tokens, slice.ticket()});
            } else if (!spent.empty()) {
                Spent &one = spent[*rc::gen::inRange<size_t>(0, spent.size())];
                one.net -= slice.refund(one.ticket, std::min(tokens, one.net), now);
            }
        }
        MicroTokens debt = 0;
        Instant last{};
        for (const Spent &one : spent) {
            debt = std::max<MicroTokens>(0, debt - earned(limits, wholeShare, one.at - last));
            debt += one.net;
            last = one.at;
            // Each earned() rounds down by less than one microtoken.
            RC_ASSERT(debt <= limits.burst + static_cast<MicroTokens>(spent.size()));
        }
    }));
}

} // namespace teaseldrift::allowance
