#pragma once

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include "message.hpp"

namespace review {

/// @brief A process of the router, started with the command of the deploy file and with the
/// settings of a small VM of vladescu-harti-grown.
class Edge
{
public:
    /// @param folder receives the settings file and the log
    Edge(std::string name, std::string zone, uint16_t storePort, const std::string &folder)
        : m_name(std::move(name)), m_front(freePort()), m_ready(freePort()),
          m_directory(freePort()), m_peers(freePort()), m_settings(folder + "/" + m_name + ".conf"),
          m_log(folder + "/" + m_name + ".log"), m_processFile(folder + "/" + m_name + ".pid")
    {
        const std::string host = "127.0.0.1:";
        std::ofstream(m_settings)
                << "node=" << m_name << "\nrole=edge\nclass=edge\nserves=edge,directory\n"
                << "ip=127.0.0.1\nzone=" << zone << "\nregion=ro-transilv\n"
                << "zones.zona-unu=ro-transilv\nzones.zona-doi=ro-transilv\n"
                << "zones.zona-trei=ro-transilv\n"
                << "listen.front=" << host << m_front << "\nlisten.ready=" << host << m_ready
                << "\nlisten.directory=" << host << m_directory << "\nport-range=" << m_peers << ','
                << m_peers << "\nbootstrap=true\nfault-counted=false\nlimits.cpu-share=0.12\n"
                << "limits.cores=1\nlimits.memory-mb=160\nlimits.max-fds=4100\n"
                << "limits.link-mbps=10.0\nlimits.disk-mb=0\ndiscovery=platform\n"
                << "entry=directory\nbeat-ms=1200\nfault-tolerance.machines=1\n"
                << "bounds.seed-lag-s=3\nbounds.addr-reuse-s=2\nbounds.contact-ms=4000\n"
                << "bounds.ack-ms=6000\nbounds.catch-up-s=6\nbounds.drain-ms=3000\n"
                << "bounds.grace-s=8\nbounds.loss-slack-ms=200\nbounds.config-apply-ms=3000\n"
                << "bounds.revert-slack-ms=250\nbounds.max-stretch-ms=6000\n"
                << "bounds.strict-revoke=false\nbounds.revoke-ms=5000\n"
                << "bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\n"
                << "bounds.retry-slack=170\nbounds.quota-window-s=8\nbounds.quota-overrun=0.1\n"
                << "bounds.quota-slack=140000\nbounds.recover-s=15\nbounds.transit-ms=200\n"
                << "bounds.reuse-window-s=10\nbounds.require-fence=false\nbounds.lease-ms=3000\n"
                << "bounds.thaw-slack-ms=300\nbounds.version-ms=12000\n"
                << "bounds.version-all-ms=17000\nbounds.ttl_max_s=5\n"
                << "platform.address=" << host << storePort << "\nplatform.form=kv\n"
                << "platform.writes-per-s=1200\nplatform.reads-per-s=6000\n"
                << "platform.history-s=20\nplatform.value-bytes=1048576\n"
                << "platform.ttl-min-ms=1000\n";
    }

    ~Edge() { kill(); }
    Edge(const Edge &) = delete;
    Edge &operator=(const Edge &) = delete;

    bool start()
    {
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        constexpr mode_t mode = 0644;
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, mode);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        std::string program = "target/teaseldrift-edge";
        std::array<char *, 2> arguments{program.data(), nullptr};
        std::string path = "PATH=/usr/bin:/bin";
        std::string settings = "TEASELDRIFT_NODE_FILE=" + m_settings;
        std::array<char *, 3> environment{path.data(), settings.data(), nullptr};
        const int error = posix_spawn(&m_process, program.c_str(), &actions, nullptr,
                                      arguments.data(), environment.data());
        posix_spawn_file_actions_destroy(&actions);
        m_process = error == 0 ? m_process : 0;
        // For run.sh, in case this program ends early.
        std::ofstream(m_processFile) << m_process << '\n';
        return error == 0;
    }

    void signal(int number) const
    {
        if (m_process > 0) {
            ::kill(m_process, number);
        }
    }

    /// @brief Whether the process has ended by itself or by a signal.
    bool hasEnded()
    {
        if (m_process > 0 && ::waitpid(m_process, &m_status, WNOHANG) == m_process) {
            m_process = 0;
        }
        return m_process == 0;
    }

    void kill()
    {
        if (!hasEnded()) {
            ::kill(m_process, SIGCONT);
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, &m_status, 0);
            m_process = 0;
        }
        std::remove(m_processFile.c_str());
    }

    /// @brief Waits until the process says that it is ready.
    [[nodiscard]] bool waitUntilReady(std::chrono::milliseconds timeout)
    {
        const Clock::time_point end = Clock::now() + timeout;
        while (Clock::now() < end && !hasEnded()) {
            const Descriptor connection = connectTo(m_ready);
            if (connection.get() >= 0
                && sendAll(connection.get(), "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
                MessageReader reader(connection.get());
                const std::optional<Message> response = reader.next();
                constexpr int ok = 200;
                if (response && response->status() == ok) {
                    return true;
                }
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    [[nodiscard]] const std::string &name() const { return m_name; }
    [[nodiscard]] uint16_t front() const { return m_front; }
    [[nodiscard]] int status() const { return m_status; }

private:
    std::string m_name;
    uint16_t m_front;
    uint16_t m_ready;
    uint16_t m_directory;
    uint16_t m_peers;
    std::string m_settings;
    std::string m_log;
    std::string m_processFile;
    pid_t m_process = 0;
    int m_status = 0;
};

} // namespace review
