#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

#include "teaseldrift/http/client.hpp"

namespace teaseldrift::http {

/// @brief Incremental parser of one response; calls the handlers as data arrives.
class ResponseParser : public boost::beast::http::basic_parser<false>
{
public:
    struct Handlers
    {
        std::function<void(const ResponseHead &)> onHead;
        std::function<void(std::string_view)> onData;
    };

    /// Largest head of a response.
    static constexpr std::uint32_t maxHeadBytes = 64U << 10U;

    ResponseParser(bool isHeadResponse, Handlers handlers);

    /// @brief Whether the connection must be closed after the response.
    [[nodiscard]] bool mustClose() const { return !keep_alive(); }

    /// @brief Whether this is an interim (1xx) response, to be followed by the final one.
    [[nodiscard]] bool isInterim() const { return m_head.status < firstFinalStatus; }

private:
    using ErrorCode = boost::beast::error_code;
    using View = boost::beast::string_view;

    static constexpr int firstStatus = 100;
    static constexpr int firstFinalStatus = 200;
    static constexpr int lastStatus = 599;

    void on_request_impl(boost::beast::http::verb, View, View, int, ErrorCode &) override { }
    void on_response_impl(int status, View reason, int version, ErrorCode &error) override;
    void on_field_impl(boost::beast::http::field, View name, View value, ErrorCode &error) override;
    void on_header_impl(ErrorCode &error) override;
    void on_body_init_impl(boost::optional<std::uint64_t> const &, ErrorCode &) override { }
    std::size_t on_body_impl(View body, ErrorCode &error) override;
    void on_chunk_header_impl(std::uint64_t, View, ErrorCode &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t remain, View body, ErrorCode &error) override;
    void on_finish_impl(ErrorCode &) override { }

    Handlers m_handlers;
    ResponseHead m_head;
};

} // namespace teaseldrift::http
