#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaseldrift::load {

/// @brief Shape of the nested shared prompts.
struct WorkloadOptions
{
    uint64_t seed = 1;
    /// Levels of shared text, each inside the one before.
    uint32_t levels = 3;
    /// Different texts of a level inside one text of the level before.
    uint32_t branching = 4;
    /// Exponent of the Zipf distribution over the texts of a level; 0 for equal shares.
    double skew = 1.0;
    uint32_t levelTokens = 1024;
    /// Tokens of the question that no other prompt shares.
    uint32_t questionTokens = 32;
    std::string model = "round-writer";
    uint32_t maxTokens = 32;
};

/// @brief One request of the workload.
struct WorkloadRequest
{
    /// JSON body for /v1/chat/completions.
    std::string body;
    /// What the stand-in engine renders from it.
    std::string prompt;
};

/// @brief Generates chats whose beginnings are shared level by level.
class Workload
{
public:
    explicit Workload(WorkloadOptions options);

    /// @brief The next request; the sequence depends on the seed only.
    /// @param owner text that keeps the prompts of different organisations apart
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
