#include "teaseldrift/streams/chunk_parser.hpp"

#include <array>
#include <cstddef>
#include <utility>

#include <nlohmann/json.hpp>

namespace teaseldrift {

namespace {

enum class Field {
    Other,
    Root,
    Choices,
    Choice,
    Index,
    Delta,
    Content,
    Role,
    Text,
    FinishReason,
    Usage,
    PromptTokens,
    CompletionTokens,
    PromptDetails,
    CachedTokens,
    Error,
};

Field fieldOf(Field parent, std::string_view key)
{
    switch (parent) {
    case Field::Root:
        return key == "choices" ? Field::Choices
               : key == "usage" ? Field::Usage
               : key == "error" ? Field::Error
                                : Field::Other;
    case Field::Choice:
        return key == "delta"           ? Field::Delta
               : key == "text"          ? Field::Text
               : key == "finish_reason" ? Field::FinishReason
               : key == "index"         ? Field::Index
                                        : Field::Other;
    case Field::Delta:
        return key == "content" ? Field::Content : key == "role" ? Field::Role : Field::Other;
    case Field::Usage:
        return key == "prompt_tokens"           ? Field::PromptTokens
               : key == "completion_tokens"     ? Field::CompletionTokens
               : key == "prompt_tokens_details" ? Field::PromptDetails
                                                : Field::Other;
    case Field::PromptDetails:
        return key == "cached_tokens" ? Field::CachedTokens : Field::Other;
    default:
        return Field::Other;
    }
}

/// SAX handler that extracts the content of one chunk.
class ChunkSaxHandler
{
public:
    using Number = nlohmann::json::number_float_t;

    explicit ChunkSaxHandler(ChunkContent &chunk, std::string &text) : m_chunk(chunk), m_text(text)
    { }

    bool null() { return true; }

    bool boolean(bool /*value*/)
    {
        recordOther();
        return true;
    }

    bool number_integer(int64_t value) // NOLINT(readability-identifier-naming): library's name
    {
        return number_unsigned(value < 0 ? 0 : static_cast<uint64_t>(value));
    }

    bool number_unsigned(uint64_t value) // NOLINT(readability-identifier-naming): library's name
    {
        switch (m_field) {
        case Field::Index:
            m_chunk.preventsContinuation = m_chunk.preventsContinuation || value != 0;
            break;
        case Field::PromptTokens:
            m_chunk.promptTokens = value;
            break;
        case Field::CompletionTokens:
            m_chunk.completionTokens = value;
            break;
        case Field::CachedTokens:
            m_chunk.cachedTokens = value;
            break;
        default:
            recordOther();
        }
        return true;
    }

    bool number_float(Number /*value*/, // NOLINT(readability-identifier-naming): library's name
                      const std::string & /*text*/)
    {
        recordOther();
        return true;
    }

    bool string(std::string &value)
    {
        if (m_field == Field::Content && !value.empty()) {
            m_text = std::move(value);
            m_hasContent = true;
        } else if (m_field == Field::Text && !m_hasContent) {
            m_text = std::move(value);
        } else if (m_field == Field::FinishReason) {
            m_chunk.hasFinishReason = true;
        } else if (m_field == Field::Error) {
            m_chunk.hasError = true;
        } else if (!value.empty()) {
            recordOther();
        }
        return true;
    }

    bool binary(nlohmann::json::binary_t & /*value*/) { return true; }

    bool start_object(size_t /*size*/) // NOLINT(readability-identifier-naming): library's name
    {
        if (m_depth == 0) {
            m_chunk.isValid = true;
            return enter(Field::Root);
        }
        if (m_field == Field::Usage) {
            m_chunk.hasUsage = true;
        }
        if (m_field == Field::Error) {
            m_chunk.hasError = true;
        }
        return enter(m_field == Field::Choices ? Field::Choice : m_field);
    }

    bool start_array(size_t /*size*/) // NOLINT(readability-identifier-naming): library's name
    {
        return enter(m_field);
    }

    bool end_object() // NOLINT(readability-identifier-naming): library's name
    {
        return leave();
    }

    bool end_array() // NOLINT(readability-identifier-naming): library's name
    {
        return leave();
    }

    bool key(std::string &value)
    {
        m_field = fieldOf(m_parents[m_depth - 1], value);
        return true;
    }

    bool parse_error(size_t /*position*/, // NOLINT(readability-identifier-naming): library's name
                     const std::string & /*token*/, const nlohmann::json::exception & /*error*/)
    {
        m_chunk.isValid = false;
        return false;
    }

private:
    static constexpr size_t maxDepth = 32;

    bool enter(Field field)
    {
        if (m_depth == maxDepth) {
            m_chunk.isValid = false;
            return false;
        }
        m_parents[m_depth] = field;
        m_field = field;
        ++m_depth;
        return true;
    }

    /// Restores the field that the ended object or array belongs to.
    bool leave()
    {
        --m_depth;
        m_field = m_depth == 0 ? Field::Other : m_parents[m_depth - 1];
        return true;
    }

    /// A value in a delta other than role and content cannot be passed to another target in a
    /// continuation request.
    void recordOther()
    {
        for (size_t depth = 0; depth < m_depth; ++depth) {
            const bool isInDelta = m_parents[depth] == Field::Delta;
            m_chunk.preventsContinuation
                    = m_chunk.preventsContinuation
                      || (isInDelta && m_field != Field::Role && m_field != Field::Content);
        }
    }

    ChunkContent &m_chunk;
    std::string &m_text;
    std::array<Field, maxDepth> m_parents{};
    size_t m_depth = 0;
    Field m_field = Field::Other;
    bool m_hasContent = false;
};

} // namespace

ChunkContent parseChunk(std::string_view json, std::string &text)
{
    ChunkContent chunk;
    text.clear();
    ChunkSaxHandler handler(chunk, text);
    const bool isParsed = nlohmann::json::sax_parse(json.begin(), json.end(), &handler);
    chunk.isValid = chunk.isValid && isParsed;
    chunk.hasText = !text.empty();
    return chunk;
}

} // namespace teaseldrift
