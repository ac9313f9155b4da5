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

/// @brief Client of the etcd v3 JSON gateway; models KeyValueStore.
///
/// Must be used on the event loop's thread. See
/// https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/.
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

    /// @brief Reads the keys of a prefix that were written after a revision and counts all keys.
    ///
    /// Deletions are not returned. They show in a count that is lower than the number of entries
    /// that the caller holds after merging those read.
    void readChanges(std::string_view prefix, uint64_t afterRevision,
                     std::function<void(std::error_code, const StoreSnapshot &)> done);

    /// @brief Executes the writes as one transaction.
    void write(std::span<const StoreWrite> writes, std::function<void(StoreWriteResult)> done);

    /// @brief Reports changes of a prefix after a revision until the watch is closed.
    /// @param onChange called with the entries of one or more complete revisions, in order
    /// @param onClosed called once if the server or a failure closes the watch; the caller should
    /// start another after a delay
    /// @return id of the watch for stopWatch()
    uint64_t watchPrefix(std::string_view prefix, uint64_t afterRevision,
                         std::function<void(std::span<const StoreEntry>)> onChange,
                         std::function<void()> onClosed);

    /// @brief Cancels a watch without a further callback. Unknown ids are ignored.
    void stopWatch(uint64_t watch);

    /// @brief Grants a lease and returns its id.
    void grantLease(Duration timeToLive, std::function<void(std::error_code, uint64_t)> done);

    /// @brief Renews a lease and returns its remaining time; zero if it has expired.
    void renewLease(uint64_t lease, std::function<void(std::error_code, Duration)> done);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

static_assert(KeyValueStore<EtcdStore>);

} // namespace teaseldrift::store
