#pragma once

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

/// @brief A request or a response with its body.
struct Message
{
    std::string startLine;
    /// By lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    [[nodiscard]] std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const size_t begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    [[nodiscard]] std::string path() const
    {
        const std::string full = target();
        return full.substr(0, full.find('?'));
    }
    [[nodiscard]] int status() const
    {
        const size_t begin = startLine.find(' ');
        return begin == std::string::npos ? 0 : std::atoi(startLine.c_str() + begin + 1);
    }
};

/// @brief A file descriptor that is closed at the end of its scope.
class Descriptor
{
public:
    explicit Descriptor(int descriptor = -1) : m_descriptor(descriptor) { }
    ~Descriptor() { reset(); }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    Descriptor(Descriptor &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1)) { }
    Descriptor &operator=(Descriptor &&other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }

    [[nodiscard]] int get() const { return m_descriptor; }
    void reset()
    {
        if (m_descriptor >= 0) {
            ::close(std::exchange(m_descriptor, -1));
        }
    }

private:
    int m_descriptor;
};

inline sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// @param port 0 for a free one; set to the bound port
inline Descriptor listenOn(uint16_t &port)
{
    Descriptor listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    socklen_t length = sizeof(address);
    constexpr int backlog = 512;
    if (::bind(listener.get(), reinterpret_cast<sockaddr *>(&address), length) != 0
        || ::listen(listener.get(), backlog) != 0
        || ::getsockname(listener.get(), reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        return Descriptor();
    }
    port = ntohs(address.sin_port);
    return listener;
}

/// @brief A free port outside the range from which the kernel takes ports of connections.
inline uint16_t freePort()
{
    static std::mt19937 random{std::random_device{}()};
    static std::set<uint16_t> given;
    std::uniform_int_distribution<uint16_t> ports(20000, 31999);
    while (true) {
        uint16_t port = ports(random);
        if (!given.contains(port) && listenOn(port).get() >= 0) {
            given.insert(port);
            return port;
        }
    }
}

/// @param receiveBuffer bytes of the receive buffer; 0 for the kernel's default
inline Descriptor connectTo(uint16_t port, int receiveBuffer = 0)
{
    Descriptor connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receiveBuffer > 0) {
        ::setsockopt(connection.get(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
                     sizeof(receiveBuffer));
    }
    const sockaddr_in address = loopback(port);
    if (::connect(connection.get(), reinterpret_cast<const sockaddr *>(&address), sizeof(address))
        != 0) {
        return Descriptor();
    }
    const int on = 1;
    ::setsockopt(connection.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return connection;
}

inline bool sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

inline Message parseHead(std::string_view head)
{
    Message message;
    size_t end = head.find("\r\n");
    message.startLine = head.substr(0, end);
    while (end != std::string_view::npos) {
        const size_t begin = end + 2;
        end = head.find("\r\n", begin);
        const std::string_view line = head.substr(begin, end - begin);
        const size_t colon = line.find(':');
        if (colon == std::string_view::npos) {
            continue;
        }
        std::string name(line.substr(0, colon));
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return std::tolower(letter); });
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name]
                = value == std::string_view::npos ? std::string() : std::string(line.substr(value));
    }
    return message;
}

/// @brief Reads messages from a connection, one after the other.
class MessageReader
{
public:
    explicit MessageReader(int descriptor) : m_descriptor(descriptor) { }

    /// @return nothing if the connection ended before a whole message
    std::optional<Message> next()
    {
        constexpr std::string_view headEnd = "\r\n\r\n";
        size_t end = m_bytes.find(headEnd);
        while (end == std::string::npos) {
            if (!receive()) {
                return std::nullopt;
            }
            end = m_bytes.find(headEnd);
        }
        Message message = parseHead(std::string_view(m_bytes).substr(0, end));
        m_bytes.erase(0, end + headEnd.size());
        const bool isWhole = message.header("transfer-encoding") == "chunked"
                                     ? readChunks(message.body)
                                     : readBody(message);
        return isWhole ? std::optional(std::move(message)) : std::nullopt;
    }

private:
    bool receive()
    {
        std::array<char, 16384> buffer{};
        const ssize_t size = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return false;
        }
        m_bytes.append(buffer.data(), static_cast<size_t>(size));
        return true;
    }

    bool take(size_t size, std::string &out)
    {
        while (m_bytes.size() < size) {
            if (!receive()) {
                return false;
            }
        }
        out.append(m_bytes, 0, size);
        m_bytes.erase(0, size);
        return true;
    }

    bool readBody(Message &message)
    {
        const std::string length = message.header("content-length");
        return length.empty() || take(std::stoul(length), message.body);
    }

    bool readChunks(std::string &body)
    {
        while (true) {
            size_t end = m_bytes.find("\r\n");
            while (end == std::string::npos) {
                if (!receive()) {
                    return false;
                }
                end = m_bytes.find("\r\n");
            }
            constexpr int hexadecimal = 16;
            const size_t size = std::stoul(m_bytes.substr(0, end), nullptr, hexadecimal);
            m_bytes.erase(0, end + 2);
            std::string lineEnd;
            if (!take(size, body) || !take(2, lineEnd)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    int m_descriptor;
    std::string m_bytes;
};

} // namespace review
