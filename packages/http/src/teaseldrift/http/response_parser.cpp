#include "response_parser.hpp"

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

namespace teaseldrift::http {

namespace {

std::string_view toView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

ResponseParser::ResponseParser(bool isHeadResponse, Handlers handlers)
    : m_handlers(std::move(handlers))
{
    eager(true);
    skip(isHeadResponse);
    header_limit(maxHeadBytes);
    body_limit(std::numeric_limits<std::uint64_t>::max());
}

void ResponseParser::on_response_impl(int status, View /*reason*/, int /*version*/,
                                      ErrorCode &error)
{
    m_head.status = status;
    // Requests ask for no other protocol.
    constexpr int switchingProtocols = 101;
    if (status < firstStatus || status > lastStatus || status == switchingProtocols) {
        error = boost::beast::http::error::bad_status;
    }
}

void ResponseParser::on_field_impl(boost::beast::http::field /*field*/, View name, View value,
                                   ErrorCode & /*error*/)
{
    std::string lowerCase(toView(name));
    std::transform(lowerCase.begin(), lowerCase.end(), lowerCase.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    m_head.headers.push_back({std::move(lowerCase), std::string(toView(value))});
}

void ResponseParser::on_header_impl(ErrorCode & /*error*/)
{
    if (!isInterim()) {
        m_handlers.onHead(m_head);
    }
}

std::size_t ResponseParser::on_body_impl(View body, ErrorCode & /*error*/)
{
    m_handlers.onData(toView(body));
    return body.size();
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t /*remain*/, View body,
                                               ErrorCode & /*error*/)
{
    m_handlers.onData(toView(body));
    return body.size();
}

} // namespace teaseldrift::http
