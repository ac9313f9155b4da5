#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "teaseldrift/load/distribution.hpp"
#include "teaseldrift/load/entry_vm_resolver.hpp"
#include "teaseldrift/load/stream_validator.hpp"
#include "teaseldrift/load/workload.hpp"

namespace teaseldrift::load {

namespace {

constexpr uint32_t tokens = 6;

std::string event(uint32_t position, const std::string &text)
{
    return "id: " + std::to_string(position) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\""
           + text + "\"}}]}\n\n";
}

std::vector<std::string> events()
{
    StandinText source("p");
    std::vector<std::string> all;
    for (uint32_t i = 0; i < tokens; ++i) {
        all.push_back(event(i, source.next()));
    }
    all.emplace_back("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":8,"
                     "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n");
    all.emplace_back("data: [DONE]\n\n");
    return all;
}

StreamValidator validate(const std::vector<std::string> &parts)
{
    StreamValidator validator{StandinText("p")};
    for (const std::string &part : parts) {
        validator.feed(part);
    }
    return validator;
}

} // namespace

TEST_CASE("a complete stream is valid however it is split into chunks", "[fuzz]")
{
    REQUIRE(rc::check("pieces", [] {
        std::string text;
        for (const std::string &part : events()) {
            text += part;
        }
        const size_t first = *rc::gen::inRange<size_t>(0, text.size());
        const size_t second = *rc::gen::inRange<size_t>(first, text.size());
        const StreamValidator validator = validate(
                {text.substr(0, first), text.substr(first, second - first), text.substr(second)});
        RC_ASSERT(validator.isComplete(tokens));
        RC_ASSERT(validator.state().promptTokens == 8U);
        RC_ASSERT(validator.state().cachedTokens == 4U);
    }));
}

TEST_CASE("a stream with a missing, repeated or swapped event is not complete", "[fuzz]")
{
    REQUIRE(rc::check("faults", [] {
        std::vector<std::string> parts = events();
        const size_t index = *rc::gen::inRange<size_t>(0, tokens);
        const int fault = *rc::gen::element(0, 1, 2, 3);
        const auto at = parts.begin() + static_cast<std::ptrdiff_t>(index);
        if (fault == 0) {
            parts.erase(at);
        } else if (fault == 1) {
            parts.insert(at, *at);
        } else if (fault == 2) {
            std::swap(parts[index], parts[index + 1]);
        } else {
            parts.pop_back();
        }
        RC_ASSERT(!validate(parts).isComplete(tokens));
    }));
}

TEST_CASE("wrong text and error events are detected")
{
    std::vector<std::string> parts = events();
    parts[2] = event(2, " other");
    CHECK(validate(parts).state().wrongText);
    parts = events();
    parts[3] = "event: error\ndata: {\"error\":{\"code\":3006}}\n\n";
    CHECK(validate(parts).state().errorCode == 3006);
}

TEST_CASE("percentiles are nearest-rank")
{
    Distribution distribution;
    CHECK(distribution.percentile(50) == 0);
    for (int i = 100; i > 0; --i) {
        distribution.add(i);
    }
    CHECK(distribution.percentile(50) == 50);
    CHECK(distribution.percentile(99) == 99);
    CHECK(distribution.percentile(100) == 100);
}

TEST_CASE("a workload is reproducible from its seed and shares prefixes only within an owner")
{
    const WorkloadOptions options{.levels = 2, .branching = 1, .levelTokens = 8};
    Workload first(options);
    Workload second(options);
    const WorkloadRequest request = first.next("a");
    CHECK(request.body == second.next("a").body);
    const size_t shared = std::string_view("system: ").size() + size_t(64);
    CHECK(first.next("a").prompt.substr(0, shared) == request.prompt.substr(0, shared));
    CHECK(first.next("b").prompt.substr(0, shared) != request.prompt.substr(0, shared));
}

TEST_CASE("entry responses are parsed in both formats")
{
    const EntryResponse texts = parseEntry(R"({"addresses":["127.0.0.1:1"],"lifetime_ms":700})");
    REQUIRE(texts.vms.size() == 1);
    CHECK(texts.lifetime == 700ms);
    const EntryResponse objects = parseEntry(R"({"vms":[{"address":"127.0.0.1","port":2}]})");
    REQUIRE(objects.vms.size() == 1);
    CHECK(objects.vms[0].port == 2);
    CHECK(parseEntry("nonsense").vms.empty());
}

} // namespace teaseldrift::load
