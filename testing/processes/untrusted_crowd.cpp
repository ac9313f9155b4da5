#include "processes/untrusted_crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::testing {

namespace {

constexpr size_t mebibyte = size_t{1} << 20U;

/// The default limit of a body.
constexpr size_t legalBody = 4 * mebibyte;

/// With bodies of legal size, more than twice the memory that the tests allow a process.
constexpr size_t bodyClients = 56;

/// More than the descriptors that the tests allow a process.
constexpr size_t connections = 1500;

/// Time without progress after which a crowd is settled.
constexpr Duration settleTime = 400ms;

/// A crowd ends after this time, whatever its test does.
constexpr Duration longestLife = 60s;

std::string head(const CrowdPlace &place, std::string_view method, std::string_view fields = {})
{
    return std::string(method) + " " + place.path + " HTTP/1.1\r\nhost: app.example\r\n"
           + place.fields + std::string(fields);
}

std::string lengthField(size_t bytes)
{
    return "content-length: " + std::to_string(bytes) + "\r\n\r\n";
}

constexpr std::string_view chunkedField = "transfer-encoding: chunked\r\n\r\n";

/// Types of HTTP/2 frames.
enum class FrameType : uint8_t { Headers = 1, ResetStream = 3, Settings = 4, Ping = 6 };

/// An HTTP/2 frame. HEADERS frames are complete requests.
std::string frame(FrameType type, uint32_t stream, std::string_view payload)
{
    constexpr char endOfRequest = 5;
    std::string bytes(2, '\0');
    bytes += static_cast<char>(payload.size());
    bytes += static_cast<char>(type);
    bytes += type == FrameType::Headers ? endOfRequest : '\0';
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes += static_cast<char>(stream >> static_cast<unsigned>(shift));
    }
    return bytes.append(payload);
}

std::string requestFrame(const CrowdPlace &place, uint32_t stream)
{
    // GET, http, and a path that is not indexed
    std::string fields = "\x82\x86\x04";
    fields += static_cast<char>(place.path.size());
    return frame(FrameType::Headers, stream, fields + place.path);
}

} // namespace

std::vector<CrowdScript> unfinishedBodies(const CrowdPlace &place)
{
    return {{.name = "whole bodies",
             .clients = bodyClients,
             .begin = head(place, "POST", lengthField(legalBody)),
             .part = "x",
             .count = legalBody - 1}};
}

std::vector<CrowdScript> unfinishedBodiesInPieces(const CrowdPlace &place)
{
    CrowdScript script = unfinishedBodies(place).front();
    script.name = "bodies in pieces";
    script.writeSize = 1000;
    return {script};
}

std::vector<CrowdScript> unfinishedBodiesInByteChunks(const CrowdPlace &place)
{
    return {{.name = "bodies in one-byte chunks",
             .clients = bodyClients,
             .begin = head(place, "POST", chunkedField),
             .part = "1\r\nx\r\n",
             .count = legalBody - 1}};
}

std::vector<CrowdScript> excessiveBodies(const CrowdPlace &place)
{
    constexpr size_t declared = mebibyte * mebibyte;
    constexpr size_t chunkSize = 0x10000;
    return {{.name = "bodies over the limit by length",
             .clients = bodyClients,
             .begin = head(place, "POST", lengthField(declared)),
             .part = "x",
             .count = 3 * legalBody},
            {.name = "bodies over the limit by chunks",
             .clients = bodyClients,
             .begin = head(place, "POST", chunkedField),
             .part = "10000\r\n" + std::string(chunkSize, 'x') + "\r\n",
             .count = 3 * legalBody / chunkSize}};
}

std::vector<CrowdScript> unusualFields(const CrowdPlace &place)
{
    const auto request = [&place](const std::string &field, size_t count) {
        std::string text = head(place, "GET");
        for (size_t i = 0; i < count; ++i) {
            text += field;
        }
        return text + "\r\n";
    };
    constexpr size_t perClient = 100;
    constexpr size_t many = 3000;
    constexpr size_t allowed = 80;
    return {{.name = "very many short fields",
             .clients = bodyClients,
             .part = request("a:b\r\n", many),
             .count = perClient},
            {.name = "values without names",
             .clients = bodyClients,
             .part = request(":b\r\n", many),
             .count = perClient},
            {.name = "names without values",
             .clients = bodyClients,
             .part = request("abcd:\r\n", allowed),
             .count = perClient},
            {.name = "repeated fields",
             .clients = bodyClients,
             .part = request("abcd:" + std::string(allowed, 'x') + "\r\n", allowed),
             .count = perClient}};
}

std::vector<CrowdScript> endlessHeads(const CrowdPlace &place)
{
    constexpr size_t fieldSize = 1000;
    constexpr size_t stoppedHeads = 330;
    constexpr size_t stoppedHeadSize = 400000;
    return {{.name = "many long fields",
             .clients = bodyClients,
             .begin = head(place, "GET"),
             .part = "x-a: " + std::string(fieldSize, 'a') + "\r\n",
             .count = legalBody / fieldSize},
            // The HTTP library refuses a head of 417,792 bytes.
            {.name = "heads that stop",
             .clients = stoppedHeads,
             .begin = head(place, "GET", "x-a: "),
             .part = "a",
             .count = stoppedHeadSize}};
}

std::vector<CrowdScript> unreadPipelines(const CrowdPlace &place)
{
    const std::string request = head(place, "GET", "\r\n");
    return {{.name = "pipelined requests",
             .clients = bodyClients,
             .part = request,
             .count = legalBody / request.size(),
             .reading = CrowdReading::Nothing}};
}

std::vector<CrowdScript> slowSenders(const CrowdPlace &place)
{
    constexpr size_t bytes = 40;
    return {{.name = "a byte at a time sent",
             .clients = connections,
             .begin = head(place, "GET", "x-a: "),
             .part = "a",
             .count = bytes,
             .writeSize = 1,
             .pause = 20ms,
             .returns = true}};
}

std::vector<CrowdScript> slowReaders(const CrowdPlace &place)
{
    return {{.name = "a byte at a time read",
             .clients = connections,
             .begin = head(place, "GET", "\r\n"),
             .pause = 50ms,
             .reading = CrowdReading::ByteByByte,
             .returns = true}};
}

std::vector<CrowdScript> haltedRequests(const CrowdPlace &place)
{
    constexpr size_t bytes = 4000;
    return {{.name = "half a head",
             .clients = connections,
             .begin = head(place, "GET"),
             .returns = true},
            {.name = "half a body",
             .clients = connections,
             .begin = head(place, "POST", lengthField(2 * bytes)),
             .part = "x",
             .count = bytes,
             .returns = true}};
}

std::vector<CrowdScript> silentConnections(const CrowdPlace & /*place*/)
{
    return {{.name = "connections that send nothing", .clients = connections, .returns = true}};
}

std::vector<CrowdScript> http2Floods(const CrowdPlace &place)
{
    constexpr size_t zeroWindowStreams = 100;
    constexpr size_t resettingClients = 5;
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string settings = frame(FrameType::Settings, 0, "");
    const std::string ping = frame(FrameType::Ping, 0, "12345678");
    std::string resets = preface + settings;
    for (uint32_t stream = 1; resets.size() < legalBody; stream += 2) {
        resets += requestFrame(place, stream)
                  + frame(FrameType::ResetStream, stream, std::string_view("\0\0\0\x08", 4));
    }
    // The initial size of a window is setting 4.
    std::string windows
            = preface + frame(FrameType::Settings, 0, std::string_view("\0\x04\0\0\0\0", 6));
    for (uint32_t stream = 1; stream < 2 * zeroWindowStreams; stream += 2) {
        windows += requestFrame(place, stream);
    }
    // Few clients: without a limit, a process took 6 GiB of memory for 177 MiB of these frames.
    return {{.name = "streams opened and reset", .clients = resettingClients, .begin = resets},
            {.name = "SETTINGS frames",
             .clients = bodyClients,
             .begin = preface,
             .part = settings,
             .count = legalBody / settings.size(),
             .reading = CrowdReading::Nothing},
            {.name = "PING frames",
             .clients = bodyClients,
             .begin = preface + settings,
             .part = ping,
             .count = legalBody / ping.size(),
             .reading = CrowdReading::Nothing},
            {.name = "windows of zero", .clients = bodyClients, .begin = windows}};
}

std::vector<CrowdScript> leavingClients(const CrowdPlace &place, const std::string &ready)
{
    constexpr size_t leaving = 600;
    constexpr size_t concurrent = 100;
    constexpr size_t bytes = 100;
    CrowdPlace first = place;
    first.path = ready;
    CrowdScript script{.name = "new connections",
                       .clients = leaving,
                       .concurrent = concurrent,
                       .begin = head(place, "GET", "\r\n"),
                       .leaves = true};
    CrowdScript kept = script;
    kept.name = "kept connections";
    kept.begin = head(first, "GET", "\r\n") + script.begin;
    CrowdScript incomplete = script;
    incomplete.name = "incomplete uploads";
    incomplete.begin = head(place, "POST", lengthField(2 * bytes)) + std::string(bytes, 'x');
    return {script, kept, incomplete};
}

struct Crowd::Client
{
    int descriptor = -1;
    size_t sent = 0;
    size_t connections = 0;
    Instant connectsAt;
    Instant nextWrite;
    Instant nextRead;
    Instant sentAllAt;
};

Crowd::Crowd(http::Endpoint endpoint, CrowdScript script)
    : m_endpoint(std::move(endpoint)), m_script(std::move(script)),
      m_lastProgress(http::EventLoop::now())
{
    while (!m_script.part.empty() && m_block.size() < m_script.writeSize + m_script.part.size()) {
        m_block += m_script.part;
    }
    m_thread = std::thread([this] { run(); });
}

Crowd::~Crowd()
{
    m_isStopped = true;
    m_thread.join();
    for (Client &client : m_clients) {
        close(client);
    }
}

void Crowd::connect(Client &client)
{
    client.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(client.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (m_script.reading != CrowdReading::All) {
        // The peer must keep what the kernel does not take.
        const int bytes = 2048;
        ::setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_endpoint.port);
    ::inet_pton(AF_INET, m_endpoint.address.c_str(), &address.sin_addr);
    const int result
            = ::connect(client.descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    client.sent = 0;
    ++client.connections;
    ++m_connected;
    if (result < 0 && errno != EINPROGRESS) {
        close(client);
    }
}

void Crowd::close(Client &client)
{
    // Few enough a second that the crowd does not use a core of the process.
    constexpr Duration returnTime = 1s;
    if (client.descriptor >= 0) {
        ::close(client.descriptor);
        client.descriptor = -1;
        client.connectsAt = http::EventLoop::now() + returnTime;
        --m_connected;
        noteProgress(client);
    }
}

/// What clients do after they have returned is no progress.
void Crowd::noteProgress(const Client &client)
{
    if (client.connections == 1) {
        m_lastProgress = http::EventLoop::now();
    }
}

void Crowd::send(Client &client, Instant now)
{
    std::string_view next = m_script.begin;
    if (client.sent < next.size()) {
        next.remove_prefix(client.sent);
    } else {
        const size_t offset = (client.sent - next.size()) % m_script.part.size();
        next = std::string_view(m_block).substr(offset, m_script.size() - client.sent);
    }
    next = next.substr(0, m_script.writeSize);
    const ssize_t sent = ::send(client.descriptor, next.data(), next.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
        if (errno != EAGAIN && errno != EINTR) {
            close(client);
        }
        return;
    }
    client.sent += static_cast<size_t>(sent);
    m_sentBytes += static_cast<uint64_t>(sent);
    client.nextWrite = now + m_script.pause;
    client.sentAllAt = now;
    noteProgress(client);
}

void Crowd::receive(Client &client, Instant now)
{
    std::array<char, 65536> buffer{};
    const size_t size = m_script.reading == CrowdReading::All ? buffer.size() : 1;
    const ssize_t received = ::recv(client.descriptor, buffer.data(), size, 0);
    client.nextRead = now + m_script.pause;
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR)) {
        close(client);
    } else if (m_script.reading == CrowdReading::All) {
        noteProgress(client);
    }
}

void Crowd::run()
{
    constexpr int pollMs = 5;
    constexpr Duration patience = 30ms;
    const Instant end = http::EventLoop::now() + longestLife;
    const size_t concurrent = m_script.concurrent == 0 ? m_script.clients : m_script.concurrent;
    std::vector<pollfd> polled;
    for (Instant now = http::EventLoop::now(); !m_isStopped && now < end;
         now = http::EventLoop::now()) {
        while (m_clients.size() < m_script.clients && m_connected < concurrent) {
            connect(m_clients.emplace_back());
            m_lastProgress = now;
        }
        for (Client &client : m_clients) {
            if (m_script.returns && client.descriptor < 0 && client.connectsAt <= now) {
                connect(client);
            }
        }
        polled.clear();
        for (const Client &client : m_clients) {
            const bool sends = client.sent < m_script.size() && client.nextWrite <= now;
            const bool reads = m_script.reading != CrowdReading::Nothing && client.nextRead <= now;
            polled.push_back(
                    {.fd = client.descriptor,
                     .events = static_cast<int16_t>((sends ? POLLOUT : 0) | (reads ? POLLIN : 0))});
        }
        ::poll(polled.data(), polled.size(), pollMs);
        for (size_t i = 0; i < polled.size(); ++i) {
            Client &client = m_clients[i];
            const int16_t events = polled[i].revents;
            if ((events & POLLOUT) != 0) {
                send(client, now);
            }
            if (client.descriptor >= 0 && (events & POLLIN) != 0) {
                receive(client, now);
            }
            const bool isLeaving = m_script.leaves && client.sent == m_script.size()
                                   && now - client.sentAllAt > patience;
            if ((events & (POLLERR | POLLHUP)) != 0 || isLeaving) {
                close(client);
            }
        }
        m_isSettled = now - m_lastProgress > settleTime;
    }
}

ProcessUse processUse(pid_t process)
{
    constexpr size_t kibibyte = 1024;
    const std::string folder = "/proc/" + std::to_string(process);
    ProcessUse use;
    std::ifstream status(folder + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            status >> use.peakBytes;
            use.peakBytes *= kibibyte;
            break;
        }
    }
    std::error_code error;
    for (std::filesystem::directory_iterator entry(folder + "/fd", error), end;
         !error && entry != end; entry.increment(error)) {
        ++use.descriptors;
    }
    return use;
}

void resetPeak(pid_t process)
{
    std::ofstream("/proc/" + std::to_string(process) + "/clear_refs") << 5;
}

} // namespace teaseldrift::testing
