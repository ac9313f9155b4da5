#include "teaseldrift/allowance/local_token_bucket.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift::allowance {

TEST_CASE("allowance: a bucket accrues its share of the rate up to its share of the burst")
{
    const Limits limits = limitsFromTokens(1000, 5000);
    LocalTokenBucket bucket;
    Instant now{};
    bucket.setLimits(limits, now);
    bucket.setShare(wholeShare / 2, now);
    CHECK(bucket.level(now + 1s) == 500 * microTokensPerToken);
    CHECK(bucket.level(now + 3600s) == 2500 * microTokensPerToken);
    CHECK_FALSE(bucket.spend(501 * microTokensPerToken, now + 1s));
    CHECK(bucket.spend(500 * microTokensPerToken, now + 1s));
}

TEST_CASE("allowance: a late refund restores no more than would be left without the spend")
{
    const Limits limits = limitsFromTokens(1000, 1000);
    LocalTokenBucket bucket;
    Instant now{};
    bucket.setLimits(limits, now);
    bucket.setShare(wholeShare, now);
    now += 1s;
    REQUIRE(bucket.spend(1000 * microTokensPerToken, now));
    const uint64_t sequence = bucket.sequence();
    CHECK(bucket.refund(sequence, 100 * microTokensPerToken, now) == 100 * microTokensPerToken);
    now += 10s;
    REQUIRE(bucket.spend(800 * microTokensPerToken, now));
    CHECK(bucket.refund(sequence, 500 * microTokensPerToken, now) == 0);
}

TEST_CASE("allowance: rounding of shares never creates tokens", "[fuzz]")
{
    REQUIRE(rc::check("capacities of parts sum to at most the whole", [] {
        const Limits limits{.rate = *rc::gen::inRange<int64_t>(1, int64_t{1} << 50),
                            .burst = *rc::gen::inRange<int64_t>(1, int64_t{1} << 50)};
        const ShareUnits part = *rc::gen::inRange<ShareUnits>(0, wholeShare + 1);
        const Duration time(*rc::gen::inRange<int64_t>(0, 1'000'000'000));
        const MicroTokens all = accruedTokens(limits, wholeShare, time);
        RC_ASSERT(capacityOf(limits, part) + capacityOf(limits, wholeShare - part) <= limits.burst);
        RC_ASSERT(accruedTokens(limits, part, time) + accruedTokens(limits, wholeShare - part, time)
                  <= all);
        const MicroTokens tokens = *rc::gen::inRange<int64_t>(0, limits.burst + 1);
        RC_ASSERT(capacityOf(limits, shareForTokens(limits, tokens)) >= tokens);
    }));
}

TEST_CASE("allowance: net spending stays within rate and burst despite refunds", "[fuzz]")
{
    REQUIRE(rc::check("net spending of a bucket", [] {
        const Limits limits = limitsFromTokens(1000, 1000);
        struct Spend
        {
            Instant at;
            MicroTokens net;
            uint64_t sequence;
        };
        std::vector<Spend> spends;
        LocalTokenBucket bucket;
        Instant now{};
        bucket.setLimits(limits, now);
        bucket.setShare(wholeShare, now);
        const size_t steps = *rc::gen::inRange<size_t>(1, 200);
        for (size_t i = 0; i < steps; ++i) {
            now += Duration(*rc::gen::inRange<int64_t>(0, 400'000));
            const MicroTokens tokens = *rc::gen::inRange<int64_t>(1, 1'000'000'000);
            if (*rc::gen::arbitrary<bool>() && bucket.spend(tokens, now)) {
                spends.push_back({now, tokens, bucket.sequence()});
            } else if (!spends.empty()) {
                Spend &spend = spends[*rc::gen::inRange<size_t>(0, spends.size())];
                spend.net -= bucket.refund(spend.sequence, std::min(tokens, spend.net), now);
            }
        }
        MicroTokens debt = 0;
        Instant last{};
        for (const Spend &spend : spends) {
            debt = std::max<MicroTokens>(0,
                                         debt - accruedTokens(limits, wholeShare, spend.at - last));
            debt += spend.net;
            last = spend.at;
            // Each accruedTokens() rounds down by less than one microtoken.
            RC_ASSERT(debt <= limits.burst + static_cast<MicroTokens>(spends.size()));
        }
    }));
}

} // namespace teaseldrift::allowance
