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

/// @brief Blocks that one prompt added to the cache.
struct StoredBlocks
{
    std::span<const uint64_t> hashes;
    /// Hash of the block before the first stored one; 0 for none.
    uint64_t parent = 0;
    /// Text of the stored blocks; four bytes form one token id.
    std::string_view text;
};

/// @brief Publishes cache events over ZeroMQ in the form of vLLM's KV events: a multipart message
/// of topic, sequence number (8 bytes, big-endian) and msgpack [time, [events]].
class CacheEventPublisher
{
public:
    CacheEventPublisher(http::EventLoop &loop, const EngineOptions &options);
    ~CacheEventPublisher();
    CacheEventPublisher(const CacheEventPublisher &) = delete;
    CacheEventPublisher &operator=(const CacheEventPublisher &) = delete;

    /// @brief Publishes the blocks that one prompt added and evicted.
    void publish(const StoredBlocks &stored, std::span<const uint64_t> removed);

    /// @brief Publishes that the cache has been cleared.
    void publishCleared();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::standins
