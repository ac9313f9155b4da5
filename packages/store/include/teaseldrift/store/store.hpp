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

/// @brief One entry of the platform's key-value service.
struct StoreEntry
{
    std::string key;
    std::string value;
    /// Store revision of the key's last write; 0 if the key does not exist.
    uint64_t revision = 0;
    /// Whether the key was deleted at this revision.
    bool deleted = false;
};

/// @brief Result of a read or of a wait for changes.
struct StoreSnapshot
{
    std::vector<StoreEntry> entries;
    /// Number of existing keys of the prefix, including those that the read left out.
    size_t count = 0;
    /// Revision of the store at the time of the read.
    uint64_t revision = 0;
    /// Epoch of the store. It rises when the store returns from an older copy of its data:
    /// revisions of different epochs are not comparable. 0 if the store has no epochs.
    uint64_t epoch = 0;
    /// Time up to which the result holds all changes; the clock's epoch if it is not known.
    Instant confirmedAt{};
    /// The VM that passed it on; empty if the store itself responded.
    std::string relayedBy;
};

/// @brief One write of a transaction.
struct StoreWrite
{
    std::string key;
    std::string value;
    bool isDelete = false;
    /// Whether the write ignores the key's revision.
    bool isUnconditional = false;
    /// Revision that the key must have for the transaction to succeed; 0 if it must not exist.
    uint64_t expectedRevision = 0;
    /// Lease whose expiry deletes the key; 0 for none.
    uint64_t lease = 0;
};

/// @brief Outcome of a transaction.
enum class StoreOutcome {
    /// All writes took effect.
    Written,
    /// A key had another revision than expected; no write took effect.
    Conflict,
    /// The request was not sent, or the store rejected it as overloaded; no write took effect.
    NotApplied,
    /// The lease of a write has expired; no write took effect.
    LeaseExpired,
    /// The response was lost, so the writes may have taken effect. Callers must read the keys back
    /// before they report an outcome.
    Unknown,
};

struct StoreWriteResult
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    uint64_t revision = 0;
    /// Epoch of the revision.
    uint64_t epoch = 0;
};

/// @brief Client of the platform's key-value service with streaming watches.
///
/// Each call counts against the service's rate limits; an open watch counts as one call.
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

/// @brief Consistency of a read.
enum class ReadConsistency {
    Current,
    /// May be some seconds old; cheaper for the store.
    AllowStale,
};

/// @brief Why a call to the store failed.
enum class StoreError {
    /// The store did not respond or rejected the call.
    Unavailable = 1,
    /// Changes after the requested revision are compacted; the prefix must be read again.
    Compacted,
    /// The lease has expired.
    LeaseExpired,
    /// The request or the response could not be parsed.
    Malformed,
};

// Name required by std::error_code.
// NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(StoreError error);

/// @brief Client of a store whose changes are read by long polling, so that the caller controls the
/// rate and thus the cost of calls.
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

/// @brief A store that can be called without the ways that waitForChanges() may take.
template <typename Store>
concept DirectStore = requires(Store &store, std::string_view prefix, uint64_t revision)
{
    // Reads the changes after a revision from the store itself, without waiting for any.
    store.readChanges(prefix, revision,
                      std::function<void(std::error_code, const StoreSnapshot &)>());
    // Makes the next call use a new connection.
    store.closeIdleConnections();
    // Whether a response to a call for the prefix is being received.
    {
        store.isReceiving(prefix)
        } -> std::same_as<bool>;
};

} // namespace teaseldrift::store

template <>
struct std::is_error_code_enum<teaseldrift::store::StoreError> : std::true_type
{ };
