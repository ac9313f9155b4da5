#pragma once

#include <memory>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/load/stream_validator.hpp"

namespace teaseldrift::load {

/// @brief One request in flight.
struct InFlightRequest
{
    uint64_t number = 0;
    size_t key = 0;
    /// Scheduled arrival, from which its latencies are measured.
    Instant due{};
    http::Request request;
    /// Prompt that the stand-in engine renders, if the text is validated.
    std::string prompt;
    uint32_t attempts = 0;
    int status = 0;
    /// Body of a refusal or of the response to a plain call.
    std::string body;
    StreamValidator validator;
    Instant lastToken{};
    std::unique_ptr<http::Call> call;
};

/// @brief Content of a refusal.
struct Refusal
{
    int code = 0;
    bool notRun = false;
};

/// @brief Parses the body of a refusal.
Refusal parseRefusal(std::string_view body);

} // namespace teaseldrift::load
