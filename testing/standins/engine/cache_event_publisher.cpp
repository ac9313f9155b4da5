#include "standins/engine/cache_event_publisher.hpp"

#include <chrono>
#include <cstring>
#include <random>
#include <string>

#include <msgpack.hpp>
#include <zmq.hpp>

#include "standins/engine/prefix_cache.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::standins {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

void packHashes(Packer &packer, std::span<const uint64_t> hashes)
{
    packer.pack_array(static_cast<uint32_t>(hashes.size()));
    for (const uint64_t hash : hashes) {
        packer.pack(hash);
    }
}

void packStored(Packer &packer, const StoredBlocks &stored, uint32_t blockTokens)
{
    constexpr uint32_t fields = 6;
    packer.pack_array(fields);
    packer.pack(std::string_view("BlockStored"));
    packHashes(packer, stored.hashes);
    if (stored.parent == 0) {
        packer.pack_nil();
    } else {
        packer.pack(stored.parent);
    }
    packer.pack_array(static_cast<uint32_t>(stored.text.size() / charactersPerToken));
    for (size_t i = 0; i + charactersPerToken <= stored.text.size(); i += charactersPerToken) {
        uint32_t token = 0;
        std::memcpy(&token, stored.text.data() + i, charactersPerToken);
        packer.pack(token);
    }
    packer.pack(blockTokens);
    packer.pack_nil();
}

void packRemoved(Packer &packer, std::span<const uint64_t> removed)
{
    constexpr uint32_t fields = 2;
    packer.pack_array(fields);
    packer.pack(std::string_view("BlockRemoved"));
    packHashes(packer, removed);
}

void packBatchHeader(Packer &packer, uint32_t events)
{
    constexpr uint32_t fields = 2;
    packer.pack_array(fields);
    packer.pack(std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch())
                        .count());
    packer.pack_array(events);
}

} // namespace

struct CacheEventPublisher::Impl
{
    http::EventLoop &loop;
    EngineOptions options;
    zmq::context_t context;
    zmq::socket_t socket{context, zmq::socket_type::pub};
    std::mt19937_64 random;
    uint64_t sequence = 0;

    Impl(http::EventLoop &eventLoop, const EngineOptions &engineOptions)
        : loop(eventLoop), options(engineOptions), random(engineOptions.seed)
    {
        socket.set(zmq::sockopt::linger, 0);
        if (options.eventsPort != 0) {
            socket.bind("tcp://127.0.0.1:" + std::to_string(options.eventsPort));
        }
    }

    void send(const std::string &number, const std::string &payload);
    void publish(const msgpack::sbuffer &buffer);
};

void CacheEventPublisher::Impl::send(const std::string &number, const std::string &payload)
{
    socket.send(zmq::buffer(std::string_view("")), zmq::send_flags::sndmore);
    socket.send(zmq::buffer(number), zmq::send_flags::sndmore);
    socket.send(zmq::buffer(payload), zmq::send_flags::none);
}

void CacheEventPublisher::Impl::publish(const msgpack::sbuffer &buffer)
{
    constexpr int sequenceBytes = 8;
    constexpr unsigned bitsPerByte = 8;
    constexpr uint64_t byteMask = 0xFF;
    std::string number(sequenceBytes, '\0');
    for (int i = 0; i < sequenceBytes; ++i) {
        number[i] = static_cast<char>((sequence >> (bitsPerByte * (sequenceBytes - 1 - i)))
                                      & byteMask);
    }
    ++sequence;
    if (std::uniform_real_distribution<double>()(random) < options.eventsLoss) {
        return;
    }
    std::string payload(buffer.data(), buffer.size());
    if (options.eventsDelayMs == 0) {
        send(number, payload);
        return;
    }
    loop.startTimer(std::chrono::milliseconds(options.eventsDelayMs),
                    [this, number, payload = std::move(payload)] { send(number, payload); });
}

CacheEventPublisher::CacheEventPublisher(http::EventLoop &loop, const EngineOptions &options)
    : m_impl(std::make_unique<Impl>(loop, options))
{ }

CacheEventPublisher::~CacheEventPublisher() = default;

void CacheEventPublisher::publish(const StoredBlocks &stored, std::span<const uint64_t> removed)
{
    const uint32_t events = (stored.hashes.empty() ? 0U : 1U) + (removed.empty() ? 0U : 1U);
    if (m_impl->options.eventsPort == 0 || events == 0) {
        return;
    }
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packBatchHeader(packer, events);
    if (!stored.hashes.empty()) {
        packStored(packer, stored, m_impl->options.blockTokens);
    }
    if (!removed.empty()) {
        packRemoved(packer, removed);
    }
    m_impl->publish(buffer);
}

void CacheEventPublisher::publishCleared()
{
    if (m_impl->options.eventsPort == 0) {
        return;
    }
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packBatchHeader(packer, 1);
    packer.pack_array(1);
    packer.pack(std::string_view("AllBlocksCleared"));
    m_impl->publish(buffer);
}

} // namespace teaseldrift::standins
