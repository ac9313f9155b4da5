#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/claim.pb.h"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift {

/// @brief A request that carries an Idempotency-Key.
struct ClaimRequest
{
    std::string organisation;
    /// Path prefix of the route.
    std::string route;
    std::string idempotencyKey;
    /// SHA-256 of method, path and body.
    std::string requestHash;
    /// Unique across VMs and restarts, for example 128 random bits.
    std::string claimId;
    /// Wall-clock time by which the request has its final outcome.
    int64_t deadlineUnixMs = 0;
};

/// @brief Result of a write to the store.
enum class ClaimWriteOutcome {
    Written,
    /// The key had a different revision; nothing was changed.
    Conflict,
    /// The write was not sent to the store.
    NotSent,
    /// The write may have been applied, or may still be applied later.
    Unknown,
};

/// @brief Result of a read from the store.
struct ClaimReadResult
{
    /// Whether the store responded.
    bool isAnswered = false;
    /// Empty if the key does not exist.
    std::optional<schema::ClaimRecord> record;
    uint64_t revision = 0;
};

/// @brief Read a key from the store, then call ClaimTable::readDone().
struct ReadClaim
{
    std::string key;
};

/// @brief Write a key by compare-and-swap, then call ClaimTable::writeDone().
struct WriteClaim
{
    std::string key;
    schema::ClaimRecord record;
    /// 0 if the key must not exist.
    uint64_t expectedRevision = 0;
};

/// @brief Delete a key by compare-and-swap, then call ClaimTable::writeDone().
struct DeleteClaim
{
    std::string key;
    uint64_t expectedRevision = 0;
};

/// @brief Decision about a claim.
enum class ClaimDecision {
    /// Only this request may be sent to a target, no later than ClaimStep::sendDeadline.
    Granted,
    /// Send the stored response.
    Replay,
    /// Refuse the request with ClaimStep::code.
    Refused,
};

/// @brief The next store operation and the decision, if any, for a claim.
struct ClaimStep
{
    std::optional<ReadClaim> read;
    std::optional<WriteClaim> write;
    std::optional<DeleteClaim> erase;
    std::optional<ClaimDecision> decision;
    /// Result code of a refusal.
    schema::ResultCode code = schema::OK;
    /// The response to replay.
    schema::KeptAnswer answer;
    /// Sending of a granted request must not start after this time.
    Instant sendDeadline;
};

/// @brief Outcome of a granted request.
enum class ClaimOutcome {
    /// The target responded.
    Answered,
    /// The request certainly did not run; its key may be used again.
    NotRun,
    Unknown,
};

} // namespace teaseldrift
