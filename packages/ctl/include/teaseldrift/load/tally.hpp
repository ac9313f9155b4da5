#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "teaseldrift/load/distribution.hpp"

namespace teaseldrift::load {

/// @brief Counts and latencies of a group of requests.
struct Tally
{
    std::string name;
    uint64_t sent = 0;
    uint64_t completed = 0;
    /// The stream began but ended early, with an error, or without the requested number of tokens.
    uint64_t incomplete = 0;
    uint64_t outOfOrder = 0;
    uint64_t wrongText = 0;
    /// Plain calls that received the response to another call.
    uint64_t mismatched = 0;
    /// The connection failed before a response, so the request may or may not have run.
    uint64_t unknown = 0;
    uint64_t unreachable = 0;
    /// Retries at another entry VM after one that did not run the request or was unreachable.
    uint64_t retriedElsewhere = 0;
    uint64_t tokens = 0;
    uint64_t promptTokens = 0;
    uint64_t cachedTokens = 0;
    /// Refusals by result code.
    std::map<int, uint64_t> refused;
    /// Ids of plain calls whose refusal says that they have not run.
    std::vector<std::string> callsNotRun;
    Distribution firstTokenMs;
    Distribution betweenTokensMs;
    Distribution totalMs;

    [[nodiscard]] uint64_t refusedTotal() const;
    [[nodiscard]] double hitRate() const;
    /// @brief Whether no response was incomplete, out of order, wrong or mismatched. Refusals and
    /// unreachable VMs are not violations.
    [[nodiscard]] bool hasNoViolations() const;
};

/// @brief Result of a load run.
struct LoadResult
{
    Tally all;
    /// One for each API key.
    std::vector<Tally> byKey;
    double seconds = 0;
};

/// @brief Formats the result as a human-readable table.
std::string toTable(const LoadResult &result);

/// @brief Formats the result as JSON.
std::string toJson(const LoadResult &result);

} // namespace teaseldrift::load
