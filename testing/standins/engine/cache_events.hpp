#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "standins/engine/options.hpp"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::standins {

/// @brief Blocks stored by one prompt.
struct StoredBlocks
{
    std::span<const uint64_t> hashes;
    /// Hash before the first stored block; 0 for none.
    uint64_t parent = 0;
    /// Text of the stored blocks; four bytes form one token id.
    std::string_view text;
};

/// @brief Publishes cache events over ZeroMQ in the form of vLLM's KV events: a multipart message
/// of topic, sequence number (8 bytes, big-endian) and msgpack [time, [events]].
class CacheEvents
{
public:
    CacheEvents(http::EventLoop &loop, const EngineOptions &options);
    ~CacheEvents();
    CacheEvents(const CacheEvents &) = delete;
    CacheEvents &operator=(const CacheEvents &) = delete;

    /// @brief Publishes what one prompt changed.
    void publish(const StoredBlocks &stored, std::span<const uint64_t> removed);

    /// @brief Publishes that the cache is empty now.
    void publishCleared();

private:
    struct Native;
    std::unique_ptr<Native> m_native;
};

} // namespace teaseldrift::standins
