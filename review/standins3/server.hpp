#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "store.hpp"

namespace review {

/// @brief A server of the platform that registers itself and answers as a script says.
class Server
{
public:
    /// Answers a request on its connection; returns false to close the connection.
    using Handler = std::function<bool(int connection, const Message &request)>;

    Server(Store &store, std::string service, std::string id, std::string zone, Handler handler)
        : m_store(store), m_service(std::move(service)), m_id(std::move(id)),
          m_zone(std::move(zone)), m_handler(std::move(handler)), m_port(freePort()),
          m_listener(listenOn(m_port))
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
        beat();
        m_threads.emplace_back([this] { accept(); });
        m_threads.emplace_back([this] { sendBeats(); });
    }

    ~Server()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_isEnding = true;
            for (const int connection : m_connections) {
                ::shutdown(connection, SHUT_RDWR);
            }
        }
        ::shutdown(m_listener.get(), SHUT_RDWR);
        m_changed.notify_all();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait(lock, [this] { return m_connections.empty(); });
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    [[nodiscard]] const std::string &id() const { return m_id; }

private:
    void beat()
    {
        const nlohmann::json entry{
                {"service", m_service}, {"address", "127.0.0.1:" + std::to_string(m_port)},
                {"zone", m_zone},       {"version", "1"},
                {"slots", 32},          {"state", "ready"},
                {"cold-left-ms", 0},    {"seq", ++m_beats},
                {"born", m_born}};
        m_store.put("servers/" + m_id, entry.dump());
    }

    void sendBeats()
    {
        constexpr std::chrono::milliseconds interval = 1200ms;
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_changed.wait_for(lock, interval, [this] { return m_isEnding; })) {
            beat();
        }
    }

    void accept()
    {
        while (true) {
            const int connection = ::accept4(m_listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (connection < 0 || m_isEnding) {
                if (connection >= 0) {
                    ::close(connection);
                }
                return;
            }
            m_connections.push_back(connection);
            std::thread([this, connection] {
                MessageReader reader(connection);
                std::optional<Message> request = reader.next();
                while (request && m_handler(connection, *request)) {
                    request = reader.next();
                }
                const std::lock_guard<std::mutex> ended(m_mutex);
                std::erase(m_connections, connection);
                ::close(connection);
                m_changed.notify_all();
            }).detach();
        }
    }

    Store &m_store;
    std::string m_service;
    std::string m_id;
    std::string m_zone;
    Handler m_handler;
    int64_t m_born = 0;
    uint64_t m_beats = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isEnding = false;
    std::vector<int> m_connections;
    uint16_t m_port;
    Descriptor m_listener;
    std::vector<std::thread> m_threads;
};

} // namespace review
