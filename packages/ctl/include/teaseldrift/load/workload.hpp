#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaseldrift::load {

/// @brief Parameters of prompts with nested shared prefixes.
struct WorkloadOptions
{
    uint64_t seed = 1;
    /// Number of levels of shared text; each level extends the prefix of the level before.
    uint32_t levels = 3;
    /// Different texts of a level for each text of the level before.
    uint32_t branching = 4;
    /// Exponent of the Zipf distribution over the texts of a level; 0 is uniform.
    double skew = 1.0;
    uint32_t levelTokens = 1024;
    /// Tokens of the question at the end of a prompt, which no other prompt shares.
    uint32_t questionTokens = 32;
    std::string model = "round-writer";
    uint32_t maxTokens = 32;
};

/// @brief One request of the workload.
struct WorkloadRequest
{
    /// JSON body for /v1/chat/completions.
    std::string body;
    /// Prompt that the stand-in engine renders from the body.
    std::string prompt;
};

/// @brief Generates chat requests whose prompts share prefixes level by level.
class Workload
{
public:
    explicit Workload(WorkloadOptions options);

    /// @brief Generates the next request; the sequence is determined by the seed.
    /// @param owner makes the prompts of different organisations share no prefix
    WorkloadRequest next(const std::string &owner);

private:
    WorkloadOptions m_options;
    std::mt19937_64 m_random;
    std::discrete_distribution<uint32_t> m_branch;
    std::unordered_map<std::string, std::string> m_levelTexts;
    uint64_t m_count = 0;

    const std::string &levelText(const std::string &path);
};

} // namespace teaseldrift::load
