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
    /// Unique over all VMs and restarts, for instance 128 random bits.
    std::string claimId;
    /// Wall-clock time at which the request has its final outcome at the latest.
    int64_t deadlineUnixMs = 0;
};

/// @brief How a write to the store ended.
enum class ClaimWriteOutcome {
    Written,
    /// The key had another revision; nothing took effect.
    Conflict,
    /// Nothing was sent.
    NotSent,
    /// It may have taken effect, or still may.
    Unknown,
};

/// @brief What a read of the store returned.
struct ClaimReadResult
{
    /// False if the store did not answer.
    bool isAnswered = false;
    /// Empty if the key does not exist.
    std::optional<schema::ClaimRecord> record;
    uint64_t revision = 0;
};

/// @brief Read a key of the store, then report ClaimTable::readDone().
struct ReadClaim
{
    std::string key;
};

/// @brief Write a key by compare-and-swap, then report ClaimTable::writeDone().
struct WriteClaim
{
    std::string key;
    schema::ClaimRecord record;
    /// 0 if the key must not exist.
    uint64_t expectedRevision = 0;
};

/// @brief Delete a key by compare-and-swap, then report ClaimTable::writeDone().
struct DeleteClaim
{
    std::string key;
    uint64_t expectedRevision = 0;
};

/// @brief What a claim came to.
enum class ClaimDecision {
    /// This request, and no other, may be sent to a target, until ClaimStep::sendDeadline.
    Granted,
    /// Give the kept answer.
    Replay,
    /// Refuse with ClaimStep::code.
    Refused,
};

/// @brief What the task shall do next for a claim.
struct ClaimStep
{
    std::optional<ReadClaim> read;
    std::optional<WriteClaim> write;
    std::optional<DeleteClaim> erase;
    std::optional<ClaimDecision> decision;
    /// Reason of a refusal.
    schema::ResultCode code = schema::OK;
    /// The answer to replay.
    schema::KeptAnswer answer;
    /// A granted request must not be handed to a connection after this time.
    Instant sendDeadline;
};

/// @brief How a granted request ended.
enum class ClaimOutcome {
    /// The target answered.
    Answered,
    /// It certainly did not run; the key may be used again.
    NotRun,
    Unknown,
};

} // namespace teaseldrift
