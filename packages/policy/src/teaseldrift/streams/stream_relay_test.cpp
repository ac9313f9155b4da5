#include "teaseldrift/streams/stream_relay.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace teaseldrift {

namespace {

using nlohmann::json;

std::string chatEvent(uint64_t id, std::string_view text)
{
    const json chunk
            = {{"id", "chatcmpl-1"}, {"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}};
    return "id: " + std::to_string(id) + "\ndata: " + chunk.dump() + "\n\n";
}

constexpr std::string_view roleEvent
        = "data: {\"id\":\"chatcmpl-1\",\"choices\":[{\"index\":0,\"delta\":{\"role\":"
          "\"assistant\",\"content\":\"\"}}]}\n\n";

} // namespace

TEST_CASE("parsed events do not depend on how the bytes are split", "[fuzz]")
{
    REQUIRE(rc::check([] {
        const std::string stream = ": comment\n\nid: 7\r\ndata: a\r\ndata: b\r\n\r\n"
                                   "event: x\ndata:c\n\ndata\n\n";
        SseParser parser;
        std::string seen;
        for (size_t at = 0; at < stream.size();) {
            const size_t size = *rc::gen::inRange<size_t>(1, 9);
            parser.append(std::string_view(stream).substr(at, size));
            at += size;
            SseEvent event;
            while (parser.next(event)) {
                seen += std::string(event.id) + "|" + std::string(event.type) + "|"
                        + std::string(event.data) + ";";
            }
        }
        RC_ASSERT(seen == "||;7||a\nb;|x|c;||;");
        RC_ASSERT(!parser.hasPartialEvent());
    }));
}

TEST_CASE("an event over the size limit is rejected")
{
    SseParser parser(64);
    parser.append("data: " + std::string(80, 'x'));
    SseEvent event;
    CHECK_FALSE(parser.next(event));
    CHECK(parser.isEventTooLarge());
}

TEST_CASE("an incomplete event is never forwarded")
{
    StreamRelay relay;
    relay.beginAttempt(AttemptKind::FullRequest);
    std::string out;
    const std::string event = chatEvent(0, "hello");
    CHECK(relay.feed(event.substr(0, event.size() - 1), out).count == 0);
    CHECK(out.empty());
    CHECK(relay.feed("\n", out).count == 1);
    CHECK(out == event);
}

TEST_CASE("a continuation keeps the ids, text and token counts of the original stream")
{
    const std::string body
            = R"({"messages":[{"role":"user","content":"q"}],"max_tokens":9,"stream":true})";
    StreamRelay relay(parseStreamOptions(body));
    relay.beginAttempt(AttemptKind::FullRequest);
    std::string out;
    relay.feed(roleEvent, out);
    relay.feed(chatEvent(0, "a\"") + chatEvent(1, "\u00e9"), out);
    CHECK(relay.deliveredText() == "a\"\u00e9");

    const json rest = json::parse(relay.continuationBody(body).value());
    CHECK(rest["messages"].back()["content"] == "a\"\u00e9");
    CHECK(rest["messages"].back()["role"] == "assistant");
    CHECK(rest["continue_final_message"] == true);
    CHECK(rest["add_generation_prompt"] == false);
    CHECK(rest["max_tokens"] == 7);

    relay.beginAttempt(AttemptKind::Continuation);
    out.clear();
    const std::string usage = "id: 1\ndata: {\"id\":\"chatcmpl-2\",\"choices\":[],\"usage\":{"
                              "\"prompt_tokens\":12,\"completion_tokens\":1,"
                              "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n";
    std::string other = chatEvent(0, "b");
    other.replace(other.find("chatcmpl-1"), 10, "chatcmpl-2");
    relay.feed(std::string(roleEvent) + other + usage + "data: [DONE]\n\n", out);
    CHECK(out.find("id: 2\n") == 0);
    CHECK(out.find("chatcmpl-2") == std::string::npos);
    CHECK(out.find("assistant") == std::string::npos);
    CHECK(out.find("\"completion_tokens\":3") != std::string::npos);
    REQUIRE(relay.usage().has_value());
    CHECK(relay.usage()->promptTokens == 10);
    CHECK(relay.usage()->completionTokens == 3);
    CHECK(relay.usage()->cachedTokens == 4);
}

TEST_CASE("a resumed stream drops delivered events and fails on a gap or on different text")
{
    StreamRelay relay;
    relay.beginAttempt(AttemptKind::FullRequest);
    std::string out;
    relay.feed(chatEvent(0, "a") + chatEvent(1, "b"), out);
    CHECK(relay.lastEventId() == "1");
    out.clear();
    relay.beginAttempt(AttemptKind::Resume);
    SECTION("repeated")
    {
        const StreamProgress progress = relay.feed(chatEvent(1, "b") + chatEvent(2, "c"), out);
        CHECK(progress.first == 2);
        CHECK(progress.count == 1);
        CHECK(out == chatEvent(2, "c"));
    }
    SECTION("gap")
    {
        CHECK(relay.feed(chatEvent(3, "d"), out).isBroken);
    }
    SECTION("begun anew with another text")
    {
        CHECK(relay.feed(chatEvent(0, "z"), out).isBroken);
        CHECK(out.empty());
    }
}

TEST_CASE(
        "a stream with all its tokens is completed after its target was lost before the end marker")
{
    StreamRelay relay({.maxPositions = 1});
    relay.beginAttempt(AttemptKind::FullRequest);
    std::string out;
    CHECK(relay.feed(chatEvent(0, "a"), out).isTextComplete);
    CHECK(relay.finalEvents().find("\"finish_reason\":\"length\"") != std::string::npos);
    CHECK(relay.finalEvents().find("data: [DONE]\n\n") != std::string::npos);
    CHECK(relay.feed("data: [DONE]\n\n", out).hasEndMarker);
    CHECK(relay.finalEvents() == "data: [DONE]\n\n");
}

TEST_CASE("tool calls and additional choices prevent a continuation")
{
    const std::string body = R"({"messages":[]})";
    for (const std::string_view chunk :
         {R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"x"}]}}]})",
          R"({"choices":[{"index":1,"delta":{"content":"a"}}]})"}) {
        StreamRelay relay;
        relay.beginAttempt(AttemptKind::FullRequest);
        std::string out;
        CHECK(relay.feed("data: " + std::string(chunk) + "\n\n", out).count == 1);
        CHECK_FALSE(relay.canContinue());
        CHECK_FALSE(relay.continuationBody(body).has_value());
    }
}

TEST_CASE("an error event or an invalid chunk fails the attempt")
{
    for (const std::string_view data : {R"({"error":{"message":"x"}})", "{", "[]", "7"}) {
        StreamRelay relay;
        relay.beginAttempt(AttemptKind::FullRequest);
        std::string out;
        CHECK(relay.feed("data: " + std::string(data) + "\n\n", out).isBroken);
        CHECK(out.empty());
    }
}

} // namespace teaseldrift
