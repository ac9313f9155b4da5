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

/// @brief Limits of the claims of one VM.
struct ClaimOptions
{
    /// Maximum number of concurrent claims; further ones are refused as not run.
    size_t maxClaims = 4096;
    /// Maximum number of store operations to obtain a claim, and again to write its outcome or to
    /// delete its record.
    uint32_t maxTries = 4;
    /// Maximum time until a claim is granted.
    Duration claimTimeout = 2s;
    /// Maximum time between the grant and the start of sending the request.
    Duration sendTimeout = 30s;
    /// Maximum size of a response that is stored for replay.
    size_t maxAnswerBytes = 65536;
};

/// @brief Claims of idempotency keys, recorded in the platform's store.
///
/// A key is claimed by creating its record in the store before the request is sent to any target,
/// so that the claim is visible to every VM and outlives the VM that made it. There is one table
/// per VM. Each step contains at most one store operation, whose result must always be reported
/// with the claim's id, even long after the decision. If a claim was refused while a write was in
/// flight, its record is deleted as soon as the result of the write is known.
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

    /// @brief Starts claiming the key of a request.
    ClaimStep begin(const ClaimRequest &request, Instant now);

    /// @brief Reports the result of a write or deletion.
    ClaimStep writeDone(std::string_view claimId, ClaimWriteOutcome outcome, uint64_t revision,
                        Instant now);

    /// @brief Reports the result of a read.
    /// @param nowUnixMs wall-clock time, used only to tell a request in progress from one whose VM
    /// has died
    ClaimStep readDone(std::string_view claimId, const ClaimReadResult &result, Instant now,
                       int64_t nowUnixMs);

    /// @brief Reports the final outcome of a granted request.
    ClaimStep complete(std::string_view claimId, ClaimOutcome outcome,
                       const schema::KeptAnswer &answer, Instant now);

    /// @brief Refuses claims that were not granted in time.
    /// @return ids of the claims to be refused with IDEMPOTENCY_CLAIM_FAILED
    std::vector<std::string> expire(Instant now);

    /// @brief Number of claims in the table.
    [[nodiscard]] size_t size() const { return m_claims.size(); }

    /// @brief The store key of an idempotency key, without the deployment's prefix.
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
        /// The record may exist in the store, or an unfinished write may still create it.
        bool mayExist = false;
        /// The claim has been refused; its record, if any, is to be deleted.
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
