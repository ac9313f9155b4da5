#pragma once

namespace teaseldrift::schema {

/// @brief Keeps protobuf from writing to standard error about messages that it cannot parse.
///
/// It writes a line for each, without a bound and blocking; the receivers of messages count and log
/// what they reject.
void silenceMessageErrors();

} // namespace teaseldrift::schema
