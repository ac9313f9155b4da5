#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "standins/engine/completion_request.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/server.hpp"
#include "teaseldrift/load/standin_text.hpp"

namespace teaseldrift::standins {

/// @brief Generation of one completion: queued, in a slot, or ended.
struct Generation
{
    enum class State { Queued, Running, Ended };

    std::shared_ptr<http::Exchange> exchange;
    CompletionRequest request;
    load::StandinText text;
    std::string requestId;
    std::vector<uint64_t> chain;
    State state = State::Queued;
    /// Position of the next token.
    uint32_t position = 0;
    uint32_t cachedTokens = 0;
    uint32_t promptTokens = 0;
    /// Text generated so far for a response that is not streamed.
    std::string bufferedText;
    /// Events generated in the current step and not yet written.
    std::string unsent;
    /// Time of the next token.
    Instant due{};
    /// Simulates a lost connection: sends neither data nor an end of the response.
    bool stalled = false;

    Generation(std::shared_ptr<http::Exchange> caller, CompletionRequest parsed)
        : exchange(std::move(caller)), request(std::move(parsed)), text(request.prompt)
    { }

    /// @brief Generates one token into `unsent` or `bufferedText`.
    void advance();

    /// @brief Whether all tokens have been generated.
    [[nodiscard]] bool isComplete() const { return position >= request.maxTokens; }

    /// @brief Events after the last token: usage, if requested, and the end marker.
    [[nodiscard]] std::string finalEvents() const;

    /// @brief Response with the complete text, for a request that is not streamed.
    [[nodiscard]] http::Response bufferedResponse() const;

private:
    [[nodiscard]] std::string usage() const;
    void appendEvent(const std::string &token);
};

} // namespace teaseldrift::standins
