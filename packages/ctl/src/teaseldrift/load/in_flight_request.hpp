#pragma once

#include <memory>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/client.hpp"
#include "teaseldrift/load/stream_validator.hpp"

namespace teaseldrift::load {

/// @brief One request under way.
struct InFlightRequest
{
    uint64_t number = 0;
    size_t key = 0;
    /// Time at which it was due, from which all its times count.
    Instant due{};
    http::Request request;
    /// What the stand-in renders from it, if the text is to be checked.
    std::string prompt;
    uint32_t attempts = 0;
    int status = 0;
    /// Body of a refusal or of a plain answer.
    std::string body;
    StreamValidator validator;
    Instant lastToken{};
    std::unique_ptr<http::Call> call;
};

/// @brief What a refusal says.
struct Refusal
{
    int code = 0;
    bool notRun = false;
};

/// @brief Reads the body of a refusal.
Refusal parseRefusal(std::string_view body);

} // namespace teaseldrift::load
