#include "teaseldrift/load/stream_validator.hpp"

#include "teaseldrift/base/json_input.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace teaseldrift::load {

namespace {

using nlohmann::json;

constexpr std::string_view idField = "id:";
constexpr std::string_view dataField = "data:";

std::string_view valueOf(std::string_view line, std::string_view field)
{
    line.remove_prefix(field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

/// Extracts a number without parsing the whole event as JSON, which would dominate the CPU time
/// of a load run.
uint32_t numberAfter(std::string_view data, std::string_view name)
{
    const size_t found = data.find(name);
    uint32_t number = 0;
    if (found != std::string_view::npos) {
        const char *begin = data.data() + found + name.size();
        std::from_chars(begin, data.data() + data.size(), number);
    }
    return number;
}

std::string parsedText(std::string_view data)
{
    const json event = parseJson(data);
    if (!event.is_object() || event.value("choices", json::array()).empty()) {
        return {};
    }
    const json &choice = event["choices"][0];
    return choice.contains("text") ? choice.value("text", "")
                                   : choice.value("delta", json::object()).value("content", "");
}

/// Generated text of an event. Text with escapes is rare and is left to the JSON parser.
std::string eventText(std::string_view data)
{
    for (const std::string_view name :
         {std::string_view(R"("content":")"), std::string_view(R"("text":")")}) {
        const size_t found = data.find(name);
        if (found == std::string_view::npos) {
            continue;
        }
        const std::string_view rest = data.substr(found + name.size());
        const std::string_view text = rest.substr(0, rest.find('"'));
        if (!contains(text, "\\")) {
            return std::string(text);
        }
    }
    return parsedText(data);
}

} // namespace

uint32_t StreamValidator::feed(std::string_view data)
{
    const uint32_t before = m_state.tokens;
    while (!data.empty()) {
        const size_t end = data.find('\n');
        if (end == std::string_view::npos) {
            m_partial += data;
            break;
        }
        if (m_partial.empty()) {
            parseLine(data.substr(0, end));
        } else {
            m_partial += data.substr(0, end);
            parseLine(m_partial);
            m_partial.clear();
        }
        data.remove_prefix(end + 1);
    }
    return m_state.tokens - before;
}

bool StreamValidator::isComplete(uint32_t tokens) const
{
    return m_state.done && !m_state.outOfOrder && !m_state.wrongText && m_state.errorCode == 0
           && m_state.tokens == tokens && m_partial.empty();
}

void StreamValidator::parseLine(std::string_view line)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        m_position = -1;
    } else if (line.starts_with(idField)) {
        const std::string_view value = valueOf(line, idField);
        std::from_chars(value.data(), value.data() + value.size(), m_position);
    } else if (line.starts_with(dataField)) {
        parseData(valueOf(line, dataField));
    }
}

void StreamValidator::parseData(std::string_view data)
{
    if (m_state.done) {
        m_state.outOfOrder = true;
        return;
    }
    if (data == "[DONE]") {
        m_state.done = true;
        return;
    }
    if (contains(data, R"("error")")) {
        const json event = parseJson(data);
        const json error = event.is_object() ? event.value("error", json()) : json();
        m_state.errorCode = error.is_object() ? error.value("code", -1) : -1;
        return;
    }
    if (!contains(data, R"("choices":[])")) {
        parseToken(data);
    }
    if (contains(data, R"("usage":{)")) {
        parseUsage(data);
    }
}

void StreamValidator::parseToken(std::string_view data)
{
    if (m_position != static_cast<int64_t>(m_state.tokens) || m_state.hasUsage) {
        m_state.outOfOrder = true;
    }
    ++m_state.tokens;
    if (m_expected && eventText(data) != m_expected->next()) {
        m_state.wrongText = true;
    }
}

void StreamValidator::parseUsage(std::string_view data)
{
    m_state.hasUsage = true;
    m_state.promptTokens = numberAfter(data, R"("prompt_tokens":)");
    m_state.cachedTokens = numberAfter(data, R"("cached_tokens":)");
}

} // namespace teaseldrift::load
