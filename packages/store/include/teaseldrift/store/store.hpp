#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::store {

/// @brief One key of the platform's key-value service.
struct StoreEntry
{
    std::string key;
    std::string value;
    /// Store revision of the last write; 0 if the key does not exist.
    uint64_t revision = 0;
    /// The key was deleted at this revision.
    bool deleted = false;
};

/// @brief What a read returned.
struct StoreSnapshot
{
    std::vector<StoreEntry> entries;
    /// Keys of the prefix that exist, also those that were not asked for.
    size_t count = 0;
    /// Revision of the whole store at the time of the read.
    uint64_t revision = 0;
};

/// @brief One write of a transaction.
struct StoreWrite
{
    std::string key;
    std::string value;
    bool isDelete = false;
    /// The write holds whatever the key's revision is.
    bool isUnconditional = false;
    /// The write holds only while the key's revision is this one; 0 if it must not exist.
    uint64_t expectedRevision = 0;
    /// Lease that removes the key when it ends; 0 for none.
    uint64_t lease = 0;
};

/// @brief How a transaction ended.
enum class StoreOutcome {
    /// All writes took effect.
    Written,
    /// A key's revision was another one; nothing took effect.
    Conflict,
    /// Nothing was sent, so nothing took effect.
    NotApplied,
    /// The lease named has ended; nothing took effect.
    LeaseExpired,
    /// The answer was lost; the writes may have taken effect. Read back before saying anything.
    Unknown,
};

struct StoreWriteResult
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    uint64_t revision = 0;
};

/// @brief The platform's key-value service as the system uses it.
///
/// Each call counts against the service's rates, a waiting watch as one.
template <typename Store>
concept KeyValueStore = requires(Store &store, std::string_view prefix, uint64_t revision,
                                 std::span<const StoreWrite> writes)
{
    store.readPrefix(prefix, std::function<void(std::error_code, const StoreSnapshot &)>());
    store.readChanges(prefix, revision,
                      std::function<void(std::error_code, const StoreSnapshot &)>());
    store.write(writes, std::function<void(StoreWriteResult)>());
    {
        store.watchPrefix(prefix, revision, std::function<void(std::span<const StoreEntry>)>(),
                          std::function<void()>())
        } -> std::same_as<uint64_t>;
    store.stopWatch(revision);
    store.grantLease(Duration(), std::function<void(std::error_code, uint64_t)>());
    store.renewLease(revision, std::function<void(std::error_code, Duration)>());
};

/// @brief How old a read may be.
enum class ReadConsistency {
    Current,
    /// May be some seconds old, and costs the store less.
    AllowStale,
};

/// @brief Why a call to a store had no result.
enum class StoreError {
    /// No answer, or the store said that nothing was done.
    Unavailable = 1,
    /// Changes after the revision asked for are no longer kept: read the prefix anew.
    Compacted,
    /// The lease has ended.
    LeaseExpired,
    /// The store could not read the call, or its answer could not be read.
    Malformed,
};

// The standard library looks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(StoreError error);

/// @brief A store whose changes are asked for one waiting call at a time, so that the caller sets
/// the pace and with it the price.
template <typename Store>
concept LongPollStore = requires(Store &store, std::string_view prefix, uint64_t number,
                                 Duration duration, std::span<const StoreWrite> writes)
{
    store.readPrefix(prefix, ReadConsistency::Current,
                     std::function<void(std::error_code, const StoreSnapshot &)>());
    store.waitForChanges(prefix, number, duration,
                         std::function<void(std::error_code, const StoreSnapshot &)>());
    store.write(writes, std::function<void(StoreWriteResult)>());
    store.grantLease(duration, std::function<void(std::error_code, uint64_t)>());
    store.renewLease(number, std::function<void(std::error_code)>());
    store.revokeLease(number);
};

} // namespace teaseldrift::store

template <>
struct std::is_error_code_enum<teaseldrift::store::StoreError> : std::true_type
{ };
