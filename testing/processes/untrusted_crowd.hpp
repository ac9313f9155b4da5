#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::testing {

/// @brief How the clients of a crowd read.
enum class CrowdReading { All, Nothing, ByteByByte };

/// @brief What each client of a crowd does on its connection.
struct CrowdScript
{
    std::string name;
    size_t clients = 0;
    /// Clients that are connected at once; 0 for all.
    size_t concurrent = 0;
    /// Sent first.
    std::string begin;
    /// Sent `count` times after that.
    std::string part;
    size_t count = 0;
    /// Largest size of one write in bytes.
    size_t writeSize = size_t{64} << 10U;
    /// Time between two writes and between two reads of one byte.
    Duration pause{0};
    CrowdReading reading = CrowdReading::All;
    /// Whether clients disconnect some time after they have sent everything, else they stay.
    bool leaves = false;
    /// Whether clients that are disconnected connect again after a while and start anew.
    bool returns = false;

    /// @brief Bytes that each client sends.
    [[nodiscard]] size_t size() const { return begin.size() + count * part.size(); }
};

/// @brief Where the clients of a crowd send their requests.
struct CrowdPlace
{
    std::string name;
    http::Endpoint endpoint;
    std::string path;
    /// Header fields of an ordinary request, with line ends.
    std::string fields;
};

/// @name Kinds of clients that do not stay inside the limits, or stop just inside of them.
/// @{
std::vector<CrowdScript> unfinishedBodies(const CrowdPlace &place);
std::vector<CrowdScript> unfinishedBodiesInPieces(const CrowdPlace &place);
std::vector<CrowdScript> unfinishedBodiesInByteChunks(const CrowdPlace &place);
std::vector<CrowdScript> excessiveBodies(const CrowdPlace &place);
std::vector<CrowdScript> unusualFields(const CrowdPlace &place);
std::vector<CrowdScript> endlessHeads(const CrowdPlace &place);
std::vector<CrowdScript> unreadPipelines(const CrowdPlace &place);
std::vector<CrowdScript> slowSenders(const CrowdPlace &place);
std::vector<CrowdScript> slowReaders(const CrowdPlace &place);
std::vector<CrowdScript> haltedRequests(const CrowdPlace &place);
std::vector<CrowdScript> silentConnections(const CrowdPlace &place);
/// @brief HTTP/2 without TLS: streams opened and reset, SETTINGS and PING frames, windows of zero.
std::vector<CrowdScript> http2Floods(const CrowdPlace &place);
/// @brief Clients that disconnect while their request waits for its response.
/// @param ready path that is answered at once
std::vector<CrowdScript> leavingClients(const CrowdPlace &place, const std::string &ready);
/// @}

/// @brief Clients on loopback, in a thread of their own, that act by a script for a bounded time.
class Crowd
{
public:
    Crowd(http::Endpoint endpoint, CrowdScript script);
    /// @brief Disconnects the clients.
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// @brief Whether all has been sent, or nothing could be sent any more for some time.
    [[nodiscard]] bool isSettled() const { return m_isSettled; }

    /// @brief Clients that are connected now.
    [[nodiscard]] size_t connected() const { return m_connected; }

    /// @brief Bytes that all clients have sent.
    [[nodiscard]] uint64_t sentBytes() const { return m_sentBytes; }

private:
    struct Client;
    void run();
    void connect(Client &client);
    void send(Client &client, Instant now);
    void receive(Client &client, Instant now);
    void close(Client &client);
    void noteProgress(const Client &client);

    http::Endpoint m_endpoint;
    CrowdScript m_script;
    /// The script's parts in a row, so that a write of any size is one piece of it.
    std::string m_block;
    std::vector<Client> m_clients;
    Instant m_lastProgress;
    std::atomic<bool> m_isSettled = false;
    std::atomic<bool> m_isStopped = false;
    std::atomic<size_t> m_connected = 0;
    std::atomic<uint64_t> m_sentBytes = 0;
    std::thread m_thread;
};

/// @brief What a process uses.
struct ProcessUse
{
    /// Highest resident memory so far, in bytes.
    size_t peakBytes = 0;
    size_t descriptors = 0;
};

/// @return zeros if there is no such process
ProcessUse processUse(pid_t process);

/// @brief Lets the highest resident memory of a process begin anew with the current one.
void resetPeak(pid_t process);

} // namespace teaseldrift::testing
