#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace teaseldrift::load {

/// @brief Generates the text of the stand-in engine.
///
/// Each token is a function of all text before it, prompt and generated tokens alike, so that a
/// continuation produces the same text as an uninterrupted run.
///
/// ```cpp
/// StandinText text("Once upon a time");
/// std::string answer = text.next() + text.next();
/// ```
class StandinText
{
public:
    explicit StandinText(std::string_view prompt);
    ~StandinText();
    StandinText(StandinText &&) noexcept;
    StandinText &operator=(StandinText &&) noexcept;

    /// @brief Generates the next token, in printable ASCII that needs no escaping in JSON.
    std::string next();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @brief One chat message, as the stand-in engine renders it into its prompt.
struct ChatMessage
{
    std::string_view role;
    std::string_view content;
};

/// @brief Appends a complete message to a prompt.
void appendMessage(std::string &prompt, const ChatMessage &message);

/// @brief Begins the assistant's message, to which the generated tokens are appended.
/// @param beginning text already delivered, which a continuation repeats
void beginAssistantMessage(std::string &prompt, std::string_view beginning = {});

} // namespace teaseldrift::load
