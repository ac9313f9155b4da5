#include "teaseldrift/load/workload.hpp"

#include <cmath>

#include "teaseldrift/load/standin_text.hpp"

namespace teaseldrift::load {

namespace {

constexpr size_t charactersPerToken = 4;

std::vector<double> zipfWeights(uint32_t count, double skew)
{
    std::vector<double> weights;
    for (uint32_t i = 0; i < count; ++i) {
        weights.push_back(1.0 / std::pow(i + 1.0, skew));
    }
    return weights;
}

std::string generateText(const std::string &seedText, uint32_t tokens)
{
    StandinText source(seedText);
    std::string text;
    while (text.size() < tokens * charactersPerToken) {
        text += source.next();
    }
    text.resize(tokens * charactersPerToken);
    return text;
}

} // namespace

Workload::Workload(WorkloadOptions options)
    : m_options(std::move(options)), m_random(m_options.seed)
{
    const std::vector<double> weights = zipfWeights(m_options.branching, m_options.skew);
    m_branch = std::discrete_distribution<uint32_t>(weights.begin(), weights.end());
}

const std::string &Workload::levelText(const std::string &path)
{
    std::string &text = m_levelTexts[path];
    if (text.empty()) {
        text = generateText(std::to_string(m_options.seed) + path, m_options.levelTokens);
    }
    return text;
}

WorkloadRequest Workload::next(const std::string &owner)
{
    std::string shared;
    std::string path = "/" + owner;
    for (uint32_t level = 0; level < m_options.levels; ++level) {
        path += "/" + std::to_string(m_branch(m_random));
        shared += levelText(path);
    }
    ++m_count;
    const std::string number = std::to_string(m_count);
    const std::string question
            = "question " + number + generateText(path + number, m_options.questionTokens);
    WorkloadRequest request;
    request.body
            = R"({"model":")" + m_options.model + R"(","stream":true,"max_tokens":)"
              + std::to_string(m_options.maxTokens)
              + R"(,"stream_options":{"include_usage":true},"messages":[{"role":"system","content":")"
              + shared + R"("},{"role":"user","content":")" + question + R"("}]})";
    appendMessage(request.prompt, {.role = "system", .content = shared});
    appendMessage(request.prompt, {.role = "user", .content = question});
    beginAssistantMessage(request.prompt);
    return request;
}

} // namespace teaseldrift::load
