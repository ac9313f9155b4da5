#include "teaseldrift/queueing/fair_queue.hpp"

#include <map>
#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift::queueing {

namespace {

const std::vector<std::string> names{"a", "b", "c", "d"};

} // namespace

TEST_CASE("each request leaves the queue exactly once", "[fuzz]")
{
    REQUIRE(rc::check("no request is lost or served twice", [] {
        FairQueue queue({.maxWaiting = 6});
        std::set<uint64_t> waiting;
        Instant now{};
        uint64_t ids = 0;
        const auto leave = [&waiting](uint64_t id) { RC_ASSERT(waiting.erase(id) == 1); };
        const int steps = *rc::gen::inRange(1, 100);
        for (int step = 0; step < steps; ++step) {
            now += Duration(*rc::gen::inRange(0, 400000));
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                for (const Refusal &refusal : queue.expire(now)) {
                    RC_ASSERT(refusal.code == schema::DEADLINE_UNREACHABLE);
                    RC_ASSERT(refusal.retryAfter > Duration::zero());
                    leave(refusal.id);
                }
                break;
            case 1:
                if (const std::optional<uint64_t> id = queue.next()) {
                    RC_ASSERT(queue.head(1) == std::vector<uint64_t>{*id});
                    RC_ASSERT(queue.take(*id, now));
                    RC_ASSERT(!queue.take(*id, now));
                    leave(*id);
                }
                break;
            case 2:
                if (!waiting.empty()) {
                    const uint64_t id = *waiting.begin();
                    RC_ASSERT(queue.cancel(id));
                    leave(id);
                }
                break;
            case 3:
                queue.adjustCharge(names[*rc::gen::inRange<size_t>(0, names.size())], 10.0,
                                   *rc::gen::inRange(1, 50));
                break;
            default: {
                const uint64_t id = ++ids;
                const bool hasDeadline = *rc::gen::arbitrary<bool>();
                const Instant dispatchBy
                        = hasDeadline ? now + Duration(*rc::gen::inRange(-100000, 1000000))
                                      : Instant::max();
                const PushResult result = queue.push(
                        {.id = id,
                         .organisation = names[*rc::gen::inRange<size_t>(0, names.size())],
                         .weight = *rc::gen::inRange(1, 4) * 1.0,
                         .costTokens = *rc::gen::inRange(1, 100) * 1.0,
                         .priority = *rc::gen::inRange(0, 3),
                         .dispatchBy = dispatchBy},
                        now);
                if (!result.refused) {
                    waiting.insert(id);
                }
                if (result.displaced) {
                    RC_ASSERT(result.displaced->id != id);
                    leave(result.displaced->id);
                }
            }
            }
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.size() <= 6U);
            const std::vector<uint64_t> head = queue.head(100);
            RC_ASSERT(std::set<uint64_t>(head.begin(), head.end()) == waiting);
        }
    }));
}

TEST_CASE("organisations with requests waiting are served by weight", "[fuzz]")
{
    REQUIRE(rc::check("served cost by weight differs by one request at most", [] {
        constexpr double largest = 100.0;
        FairQueue queue({.maxWaiting = 10000, .idleCreditWindow = 0s});
        std::map<std::string, double> weights;
        std::map<uint64_t, std::string> owners;
        std::map<uint64_t, double> costs;
        uint64_t ids = 0;
        for (const std::string &name : names) {
            weights[name] = *rc::gen::inRange(1, 5);
            for (int i = 0; i < 60; ++i) {
                costs[++ids] = *rc::gen::inRange<int>(1, static_cast<int>(largest) + 1);
                owners[ids] = name;
                queue.push({.id = ids,
                            .organisation = name,
                            .weight = weights[name],
                            .costTokens = costs[ids]},
                           Instant{});
            }
        }
        std::map<std::string, double> served;
        for (int taken = 0; taken < 60; ++taken) {
            const uint64_t id = queue.next().value();
            queue.take(id, Instant{});
            served[owners[id]] += costs[id];
            for (const std::string &one : names) {
                for (const std::string &other : names) {
                    const double apart
                            = served[one] / weights[one] - served[other] / weights[other];
                    RC_ASSERT(apart <= largest / weights[one] + largest / weights[other] + 1e-6);
                }
            }
        }
    }));
}

TEST_CASE("priority and deadline order the requests of one organisation only")
{
    FairQueue queue;
    queue.push({.id = 1, .organisation = "a"}, Instant{});
    queue.push({.id = 2, .organisation = "a", .dispatchBy = Instant(5s)}, Instant{});
    queue.push({.id = 3, .organisation = "a", .priority = 1}, Instant{});
    CHECK(queue.head(3) == std::vector<uint64_t>{3, 2, 1});
    queue.take(3, Instant{});
    queue.push({.id = 4, .organisation = "a", .priority = 9}, Instant{});
    queue.push({.id = 5, .organisation = "b"}, Instant{});
    CHECK(queue.next() == 5);
}

TEST_CASE("a request that cannot meet its deadline is refused at once, with a time to retry")
{
    FairQueue queue;
    Instant now{};
    uint64_t ids = 0;
    for (int i = 0; i < 100; ++i) {
        queue.push({.id = ++ids, .organisation = "a", .costTokens = 100}, now);
    }
    // Ten requests a second leave the queue.
    for (int i = 0; i < 20; ++i) {
        now += 100ms;
        queue.take(queue.next().value(), now);
    }
    const PushResult late = queue.push(
            {.id = ++ids, .organisation = "a", .costTokens = 100, .dispatchBy = now + 2s}, now);
    REQUIRE(late.refused);
    CHECK(late.refused->code == schema::DEADLINE_UNREACHABLE);
    CHECK(late.refused->retryAfter > 3s);
    CHECK_FALSE(
            queue.push({.id = ++ids, .organisation = "b", .dispatchBy = now + 2s}, now).refused);
}

TEST_CASE("a full queue displaces a request of the organisation with the longest queue")
{
    FairQueue queue({.maxWaiting = 3});
    for (uint64_t id = 1; id <= 3; ++id) {
        queue.push({.id = id, .organisation = "a", .costTokens = 10}, Instant{});
    }
    const PushResult other = queue.push({.id = 4, .organisation = "b"}, Instant{});
    CHECK_FALSE(other.refused);
    REQUIRE(other.displaced);
    CHECK(other.displaced->id == 3);
    CHECK(other.displaced->code == schema::QUEUE_FULL);
    const PushResult same = queue.push({.id = 5, .organisation = "a"}, Instant{});
    REQUIRE(same.refused);
    CHECK(same.refused->code == schema::QUEUE_FULL);
}

} // namespace teaseldrift::queueing
