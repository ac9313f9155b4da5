#include "teaseldrift/load/standin_text.hpp"

#include <cstdint>

#include <xxhash.h>

namespace teaseldrift::load {

namespace {

struct StateDeleter
{
    void operator()(XXH64_state_t *state) const { XXH64_freeState(state); }
};

constexpr std::string_view consonants = "bdfghjklmnprstvz";
constexpr std::string_view vowels = "aeio";

} // namespace

struct StandinText::Impl
{
    std::unique_ptr<XXH64_state_t, StateDeleter> state{XXH64_createState()};
};

StandinText::StandinText(std::string_view prompt) : m_impl(std::make_unique<Impl>())
{
    XXH64_reset(m_impl->state.get(), 0);
    XXH64_update(m_impl->state.get(), prompt.data(), prompt.size());
}

StandinText::~StandinText() = default;
StandinText::StandinText(StandinText &&) noexcept = default;
StandinText &StandinText::operator=(StandinText &&) noexcept = default;

std::string StandinText::next()
{
    constexpr int syllables = 2;
    constexpr uint64_t consonantMask = 15;
    constexpr uint64_t vowelMask = 3;
    uint64_t bits = XXH64_digest(m_impl->state.get());
    std::string token = " ";
    for (int i = 0; i < syllables; ++i) {
        token += consonants[bits & consonantMask];
        bits >>= 4U;
        token += vowels[bits & vowelMask];
        bits >>= 2U;
    }
    XXH64_update(m_impl->state.get(), token.data(), token.size());
    return token;
}

void appendMessage(std::string &prompt, const ChatMessage &message)
{
    prompt.append(message.role).append(": ").append(message.content).append("\n");
}

void beginAssistantMessage(std::string &prompt, std::string_view beginning)
{
    prompt.append("assistant: ").append(beginning);
}

} // namespace teaseldrift::load
