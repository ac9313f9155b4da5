#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "standins/engine/completion_request.hpp"
#include "standins/engine/delayed_load_report.hpp"
#include "standins/engine/prefix_cache.hpp"
#include "teaseldrift/load/standin_text.hpp"

namespace teaseldrift::standins {

TEST_CASE("a continuation yields the text of an uninterrupted run", "[fuzz]")
{
    REQUIRE(rc::check("continuation", [](const std::string &prompt) {
        constexpr int tokens = 12;
        const int split = *rc::gen::inRange(0, tokens);
        load::StandinText uninterrupted(prompt);
        std::string expected;
        std::string beginning;
        for (int i = 0; i < tokens; ++i) {
            expected += uninterrupted.next();
            if (i + 1 == split) {
                beginning = expected;
            }
        }
        load::StandinText continuation(prompt + beginning);
        std::string text = beginning;
        for (int i = split; i < tokens; ++i) {
            text += continuation.next();
        }
        RC_ASSERT(text == expected);
    }));
}

TEST_CASE("a continued chat appends the partial response to the prompt")
{
    CompletionRequest first;
    CompletionRequest second;
    REQUIRE(parseCompletion(R"({"model":"m","messages":[{"role":"user","content":"a"}]})", true,
                            first));
    REQUIRE(parseCompletion(R"({"model":"m","continue_final_message":true,"messages":[
        {"role":"user","content":"a"},{"role":"assistant","content":" b"}]})",
                            true, second));
    CHECK(second.prompt == first.prompt + " b");
    CHECK_FALSE(parseCompletion("[]", true, first));
    CHECK_FALSE(parseCompletion(R"({"model":"m"})", true, first));
}

TEST_CASE("the least recently used leaf is evicted first")
{
    PrefixCache cache(3);
    const std::vector<uint64_t> first{1, 2};
    const std::vector<uint64_t> second{1, 3, 4};
    CHECK(cache.use(first).hits == 0);
    const CacheChange change = cache.use(second);
    CHECK(change.hits == 1);
    CHECK(change.removed == std::vector<uint64_t>{2});
    CHECK(cache.use(second).hits == 3);
    CHECK(cache.use(first).hits == 1);
    cache.clear();
    CHECK(cache.use(second).hits == 0);
}

TEST_CASE("block hashes depend on the salt and on the preceding text")
{
    const std::string prompt(16, 'x');
    const std::vector<uint64_t> chain = blockChain(prompt, "a", 2);
    REQUIRE(chain.size() == 2);
    CHECK(chain[0] != chain[1]);
    CHECK(blockChain(prompt, "b", 2)[0] != chain[0]);
    CHECK(blockChain("y" + prompt, "a", 2)[1] != chain[1]);
    CHECK(blockChain(prompt + "tail", "a", 2) == chain);
}

TEST_CASE("the load report is delayed")
{
    DelayedLoadReport report(100ms);
    const Instant start{};
    report.record({.at = start, .running = 1});
    report.record({.at = start + 50ms, .running = 2});
    CHECK(report.read(start + 99ms).running == 0);
    CHECK(report.read(start + 100ms).running == 1);
    CHECK(report.read(start + 150ms).running == 2);
}

} // namespace teaseldrift::standins
