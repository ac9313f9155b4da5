#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/idempotency/claim_types.hpp"

namespace teaseldrift {

/// @brief Bounds of claims at one VM.
struct ClaimOptions
{
    /// Claims under way at once; further ones are refused as not run.
    size_t maxClaims = 4096;
    /// Tries to write or read before a claim is given up.
    uint32_t maxTries = 4;
    /// Longest time for a claim to be granted.
    Duration claimTimeout = 2s;
    /// Longest time between the grant and the hand-over to a connection.
    Duration sendTimeout = 30s;
    /// Largest answer that is kept for replay.
    size_t maxAnswerBytes = 65536;
};

/// @brief Claims of idempotency keys, kept in the platform's store.
///
/// A key is claimed by creating its record in the store before the request is sent anywhere, so
/// the claim is seen from every VM and survives the VM that made it. One table serves a VM. Each
/// step holds at most one operation on the store; its result must always be reported, with the
/// claim's id, even long after a verdict. A claim that was refused while a write was under way is
/// released as soon as the store tells what became of it.
///
/// ```cpp
/// ClaimStep step = table.begin(request, now);          // step.write
/// step = table.writeDone(request.claimId, ClaimWriteOutcome::Written, revision, now);
/// // step.verdict == ClaimDecision::Granted: send the request, then
/// step = table.complete(request.claimId, ClaimOutcome::Answered, answer, now); // step.write
/// ```
class ClaimTable
{
public:
    explicit ClaimTable(ClaimOptions options = {});

    /// @brief Begins to claim the key of a request.
    ClaimStep begin(const ClaimRequest &request, Instant now);

    /// @brief A write or a deletion ended.
    ClaimStep writeDone(std::string_view claimId, ClaimWriteOutcome outcome, uint64_t revision,
                        Instant now);

    /// @brief A read ended.
    /// @param nowUnixMs wall-clock time, only to tell a request under way from one whose VM died
    ClaimStep readDone(std::string_view claimId, const ClaimReadResult &result, Instant now,
                       int64_t nowUnixMs);

    /// @brief A granted request has its final outcome.
    ClaimStep complete(std::string_view claimId, ClaimOutcome outcome,
                       const schema::KeptAnswer &answer, Instant now);

    /// @brief Gives up claims that were not granted in time.
    /// @return ids of claims that are refused with IDEMPOTENCY_CLAIM_FAILED
    std::vector<std::string> expire(Instant now);

    /// @brief Claims under way.
    [[nodiscard]] size_t size() const { return m_claims.size(); }

    /// @brief The store's key, without the system's prefix, of an idempotency key.
    static std::string storeKey(std::string_view organisation, std::string_view route,
                                std::string_view idempotencyKey);

private:
    enum class Phase { Creating, ReadingBack, Granted, WritingOutcome, Releasing };

    struct Claim
    {
        std::string key;
        schema::ClaimRecord record;
        Phase phase = Phase::Creating;
        Instant begun;
        uint64_t revision = 0;
        uint32_t tries = 0;
        /// The record may exist, or come to exist.
        bool mayExist = false;
        /// Refused already; what may exist of it is to be removed.
        bool isAbandoned = false;
    };

    using Claims = std::map<std::string, Claim, std::less<>>;

    static ClaimStep createRecord(Claim &claim);
    static ClaimStep readBack(Claim &claim);
    static ClaimStep deleteRecord(Claim &claim);
    static ClaimStep writeOutcome(Claim &claim);
    ClaimStep grant(Claim &claim, uint64_t revision, Instant now) const;
    ClaimStep refuse(Claims::iterator claim, schema::ResultCode code);
    ClaimStep refuseOrRemove(Claims::iterator claim);
    ClaimStep decideByForeignRecord(Claims::iterator claim, const schema::ClaimRecord &other,
                                    int64_t nowUnixMs);
    ClaimStep handleCreateResult(Claims::iterator claim, ClaimWriteOutcome outcome,
                                 uint64_t revision, Instant now);
    ClaimStep handleFinalWriteResult(Claims::iterator claim, ClaimWriteOutcome outcome);
    void removeClaim(Claims::iterator claim);

    ClaimOptions m_options;
    Claims m_claims;
    /// Claim id by store key.
    std::map<std::string, std::string, std::less<>> m_claimIdByStoreKey;
};

} // namespace teaseldrift
