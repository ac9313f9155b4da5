#pragma once

#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/http/server.hpp"

namespace teaseldrift::standins {

using nlohmann::json;

/// @brief HTTP interface of the list of VMs.
class VmListService
{
public:
    VmListService(http::EventLoop &loop, Duration lag) : m_loop(loop), m_lag(lag) { }

    /// @brief Replaces the list, a JSON array, at once.
    void setList(std::string list)
    {
        m_list = std::move(list);
        ++m_version;
    }

    void handle(const std::shared_ptr<http::Exchange> &exchange)
    {
        if (exchange->path() == "/lag" && exchange->method() == "PUT") {
            const json request = json::parse(exchange->body(), nullptr, false);
            m_lag = std::chrono::milliseconds(request.value("ms", 0));
            exchange->respond({.body = "{}"});
        } else if (exchange->path() != "/vms") {
            exchange->respond({.status = 404});
        } else if (exchange->method() == "PUT") {
            m_loop.startTimer(m_lag,
                              [this, list = std::string(exchange->body())] { setList(list); });
            exchange->respond({.body = "{}"});
        } else {
            respondWithList(exchange);
        }
    }

private:
    http::EventLoop &m_loop;
    Duration m_lag;
    std::string m_list = "[]";
    uint64_t m_version = 1;

    void respondWithList(const std::shared_ptr<http::Exchange> &exchange) const
    {
        const std::string etag = "\"" + std::to_string(m_version) + "\"";
        if (http::findHeader(exchange->headers(), "if-none-match") == etag) {
            exchange->respond({.status = 304, .headers = {{"etag", etag}}});
            return;
        }
        exchange->respond({.headers = {{"content-type", "application/json"}, {"etag", etag}},
                           .body = m_list});
    }
};

} // namespace teaseldrift::standins
