#include "processes/process.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace teaseldrift::testing {

namespace {

int exitCode(int status)
{
    constexpr int signalBase = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
}

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &errorFile)
{
    constexpr int readableByOwner = 0600;
    const std::string errors = errorFile.empty() ? "/dev/null" : errorFile;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, readableByOwner);
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int result
            = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error("cannot start " + program);
    }
}

Process::~Process()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        wait();
    }
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1)), m_status(other.m_status)
{ }

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(m_pid, other.m_pid);
    std::swap(m_status, other.m_status);
    return *this;
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

int Process::wait()
{
    if (m_pid > 0) {
        ::waitpid(m_pid, &m_status, 0);
        m_pid = -1;
    }
    return exitCode(m_status);
}

bool Process::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

HalfOpenConnection::HalfOpenConnection(uint16_t port)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr std::string_view beginning = "POST /v1/completions HTTP/1.1\r\nhost: x\r\n";
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool sent
            = ::connect(m_descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
              && ::send(m_descriptor, beginning.data(), beginning.size(), MSG_NOSIGNAL) > 0;
    if (!sent) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

HalfOpenConnection::~HalfOpenConnection()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

HalfOpenConnection::HalfOpenConnection(HalfOpenConnection &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{ }

std::vector<HalfOpenConnection> openHalfOpenConnections(uint16_t port, size_t count)
{
    std::vector<HalfOpenConnection> connections;
    connections.reserve(count);
    for (size_t i = 0; i < count; ++i) {
        HalfOpenConnection connection(port);
        if (connection.isConnected()) {
            connections.push_back(std::move(connection));
        }
    }
    return connections;
}

ReservedPort::ReservedPort() : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // Bound but never listening: the program that is told the port may then listen on it.
    const bool bound
            = ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0
              && ::bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), length) == 0
              && ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0;
    if (!bound) {
        ::close(m_descriptor);
        throw std::runtime_error("cannot bind a loopback port");
    }
    m_number = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

ReservedPort::ReservedPort(ReservedPort &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)), m_number(other.m_number)
{ }

ReservedPort &ReservedPort::operator=(ReservedPort &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_number, other.m_number);
    return *this;
}

} // namespace teaseldrift::testing
