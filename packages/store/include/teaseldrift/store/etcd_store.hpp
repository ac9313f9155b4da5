#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <system_error>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::store {

/// @brief A key-value service that speaks the etcd v3 JSON gateway.
///
/// Calls belong to the loop's thread. See https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/.
class EtcdStore
{
public:
    EtcdStore(http::EventLoop &loop, http::Endpoint endpoint, Duration timeout = 1s);
    ~EtcdStore();
    EtcdStore(const EtcdStore &) = delete;
    EtcdStore &operator=(const EtcdStore &) = delete;

    /// @brief Reads all keys of a prefix.
    void readPrefix(std::string_view prefix,
                    std::function<void(std::error_code, const StoreSnapshot &)> done);

    /// @brief Reads the keys of a prefix that were written after a revision, and counts all.
    ///
    /// The reader holds what the store holds if its own entries up to `afterRevision`, together
    /// with those read, are as many as the count. A deletion shows as a lower count.
    void readChanges(std::string_view prefix, uint64_t afterRevision,
                     std::function<void(std::error_code, const StoreSnapshot &)> done);

    /// @brief Writes all or nothing.
    void write(std::span<const StoreWrite> writes, std::function<void(StoreWriteResult)> done);

    /// @brief Reports changes of a prefix after a revision until the watch breaks.
    /// @param onChange called with the entries of one or more whole revisions, in order
    /// @param onClosed called once when the watch has ended by itself; start another after a while
    /// @return identifies the watch
    uint64_t watchPrefix(std::string_view prefix, uint64_t afterRevision,
                         std::function<void(std::span<const StoreEntry>)> onChange,
                         std::function<void()> onClosed);

    /// @brief Ends a watch without a further call; an unknown one is ignored.
    void stopWatch(uint64_t watch);

    /// @brief Grants a lease; the answer is its id.
    void grantLease(Duration timeToLive, std::function<void(std::error_code, uint64_t)> done);

    /// @brief Extends a lease; the answer is the time that is left. Zero means it has ended.
    void renewLease(uint64_t lease, std::function<void(std::error_code, Duration)> done);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

static_assert(KeyValueStore<EtcdStore>);

} // namespace teaseldrift::store
