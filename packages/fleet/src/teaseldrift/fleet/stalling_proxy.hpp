#pragma once

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <system_error>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teaseldrift::fleet::testing {

/// @brief Forwards TCP connections, and can stall the open ones permanently without closing them.
class StallingProxy
{
public:
    explicit StallingProxy(uint16_t targetPort)
        : m_targetPort(targetPort), m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof(address);
        if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), length) != 0
            || listen(m_listener, SOMAXCONN) != 0) {
            throw std::system_error(errno, std::generic_category());
        }
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }

    ~StallingProxy()
    {
        m_stopped = true;
        m_thread.join();
        for (const Link &link : m_links) {
            close(link.client);
            close(link.server);
        }
        close(m_listener);
    }

    StallingProxy(const StallingProxy &) = delete;
    StallingProxy &operator=(const StallingProxy &) = delete;

    [[nodiscard]] uint16_t port() const { return m_port; }

    /// @brief Number of connections accepted so far.
    [[nodiscard]] int accepted() const { return m_accepted; }

    /// @brief Stops forwarding on the open connections; new connections are not affected.
    void stallOpenConnections() { m_lastStalled = m_accepted.load(); }

private:
    struct Link
    {
        int client = -1;
        int server = -1;
        int number = 0;
    };

    uint16_t m_targetPort;
    int m_listener;
    uint16_t m_port = 0;
    std::vector<Link> m_links;
    std::atomic<bool> m_stopped = false;
    std::atomic<int> m_accepted = 0;
    std::atomic<int> m_lastStalled = 0;
    std::thread m_thread;

    static sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    void run()
    {
        constexpr int pollTimeoutMs = 20;
        while (!m_stopped) {
            std::vector<pollfd> pollFds{{m_listener, POLLIN, 0}};
            for (const Link &link : m_links) {
                const bool isStalled = link.number <= m_lastStalled;
                pollFds.push_back({isStalled ? -1 : link.client, POLLIN, 0});
                pollFds.push_back({isStalled ? -1 : link.server, POLLIN, 0});
            }
            poll(pollFds.data(), pollFds.size(), pollTimeoutMs);
            for (size_t i = 0; i < m_links.size(); ++i) {
                forward(pollFds[1 + 2 * i], m_links[i].server);
                forward(pollFds[2 + 2 * i], m_links[i].client);
            }
            if ((pollFds[0].revents & POLLIN) != 0) {
                acceptConnection();
            }
        }
    }

    void acceptConnection()
    {
        Link link{.client = accept(m_listener, nullptr, nullptr),
                  .server = socket(AF_INET, SOCK_STREAM, 0)};
        const sockaddr_in address = loopback(m_targetPort);
        if (connect(link.server, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
            != 0) {
            shutdown(link.client, SHUT_RDWR);
        }
        link.number = m_accepted + 1;
        m_accepted = link.number;
        m_links.push_back(link);
    }

    static void forward(const pollfd &from, int to)
    {
        constexpr size_t bufferSize = 16384;
        if (from.fd < 0 || (from.revents & POLLIN) == 0) {
            return;
        }
        std::vector<char> buffer(bufferSize);
        const ssize_t length = recv(from.fd, buffer.data(), buffer.size(), 0);
        if (length <= 0) {
            shutdown(to, SHUT_WR);
            return;
        }
        send(to, buffer.data(), static_cast<size_t>(length), MSG_NOSIGNAL);
    }
};

} // namespace teaseldrift::fleet::testing
