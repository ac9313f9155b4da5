#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "teaseldrift/load/distribution.hpp"

namespace teaseldrift::load {

/// @brief Counts and times of a group of requests.
struct Tally
{
    std::string name;
    uint64_t sent = 0;
    uint64_t completed = 0;
    /// Began and did not end properly, or had no tokens left out of the ones asked for.
    uint64_t incomplete = 0;
    uint64_t outOfOrder = 0;
    uint64_t wrongText = 0;
    /// Plain calls whose answer belongs to another call.
    uint64_t mismatched = 0;
    /// The connection broke before an answer, so the request may or may not have run.
    uint64_t unknown = 0;
    uint64_t unreachable = 0;
    /// Tries at another entry VM after one that said "not run" or could not be reached.
    uint64_t retriedElsewhere = 0;
    uint64_t tokens = 0;
    uint64_t promptTokens = 0;
    uint64_t cachedTokens = 0;
    /// Refusals by result code.
    std::map<int, uint64_t> refused;
    Distribution firstTokenMs;
    Distribution betweenTokensMs;
    Distribution totalMs;

    [[nodiscard]] uint64_t refusedTotal() const;
    [[nodiscard]] double hitRate() const;
    /// @brief Whether no promise about answers was broken. Refusals break none.
    [[nodiscard]] bool hasNoViolations() const;
};

/// @brief Result of a load run.
struct LoadResult
{
    Tally all;
    /// One per key.
    std::vector<Tally> byKey;
    double seconds = 0;
};

/// @brief The result as a table for people.
std::string toTable(const LoadResult &result);

/// @brief The result as JSON for scripts.
std::string toJson(const LoadResult &result);

} // namespace teaseldrift::load
