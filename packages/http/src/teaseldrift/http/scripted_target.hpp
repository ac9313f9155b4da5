#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "teaseldrift/http/message.hpp"

namespace teaseldrift::http::testing {

inline sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// @brief How a scripted target closes its connection.
enum class CloseMode {
    Close,
    Reset,
    Keep,
    /// Sends the last response again and again, until its peer closes.
    Endless,
};

/// @brief Accepts one connection and sends the given bytes as responses, one for each request.
class ScriptedTarget
{
public:
    ScriptedTarget(std::vector<std::string> responses, CloseMode closeMode)
        : m_responses(std::move(responses)), m_closeMode(closeMode),
          m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof(address);
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(::listen(m_listener, 8) == 0);
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~ScriptedTarget()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        ::shutdown(m_connection, SHUT_RDWR);
        m_thread.join();
        ::close(m_connection);
        ::close(m_listener);
    }

    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    [[nodiscard]] Endpoint endpoint() const { return {.address = "127.0.0.1", .port = m_port}; }

private:
    void serve()
    {
        const int connection = ::accept(m_listener, nullptr, nullptr);
        if (connection < 0) {
            return;
        }
        m_connection = connection;
        for (const std::string &response : m_responses) {
            if (!readHead(connection)) {
                break;
            }
            ::send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        }
        if (m_closeMode == CloseMode::Endless) {
            const std::string &bytes = m_responses.back();
            while (::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) { }
        }
        if (m_closeMode == CloseMode::Keep) {
            readHead(connection);
        }
        if (m_closeMode == CloseMode::Reset) {
            // Waits until the bytes have arrived, since a reset discards unread data.
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            const linger now{.l_onoff = 1, .l_linger = 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            ::close(m_connection.exchange(-1));
        }
        if (m_closeMode == CloseMode::Close) {
            ::shutdown(connection, SHUT_WR);
        }
    }

    static bool readHead(int connection)
    {
        std::string head;
        char byte = 0;
        while (head.find("\r\n\r\n") == std::string::npos) {
            if (::recv(connection, &byte, 1, 0) <= 0) {
                return false;
            }
            head += byte;
        }
        return true;
    }

    std::vector<std::string> m_responses;
    CloseMode m_closeMode;
    int m_listener;
    std::atomic<int> m_connection = -1;
    uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace teaseldrift::http::testing
