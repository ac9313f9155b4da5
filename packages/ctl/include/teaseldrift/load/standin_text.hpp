#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace teaseldrift::load {

/// @brief The text that the stand-in engine generates.
///
/// Each token is a function of all text before it, prompt and generated tokens alike, so a
/// continuation yields the text of an uninterrupted run.
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

    /// @brief The next token, in printable ASCII that JSON doesn't escape.
    std::string next();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @brief One message of a chat as the stand-in renders it into its prompt.
struct ChatMessage
{
    std::string_view role;
    std::string_view content;
};

/// @brief Adds a message that is followed by another one.
void appendMessage(std::string &prompt, const ChatMessage &message);

/// @brief Opens the answer. The tokens follow, or the beginning that a continuation repeats.
void beginAssistantMessage(std::string &prompt, std::string_view beginning = {});

} // namespace teaseldrift::load
