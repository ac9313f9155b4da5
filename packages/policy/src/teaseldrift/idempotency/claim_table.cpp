#include "teaseldrift/idempotency/claim_table.hpp"

#include <array>
#include <utility>

#include <openssl/sha.h>

namespace teaseldrift {

namespace {

constexpr std::string_view keyPrefix = "claims/";

/// Appends a part with its length, so that different lists of parts never yield the same string.
void appendLengthPrefixed(std::string &whole, std::string_view part)
{
    whole += std::to_string(part.size());
    whole += ':';
    whole += part;
}

std::string hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned halfByteBits = 4;
    constexpr unsigned halfByteMask = 15;
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const unsigned value = static_cast<unsigned char>(byte);
        text += digits[value >> halfByteBits];
        text += digits[value & halfByteMask];
    }
    return text;
}

ClaimStep refusal(schema::ResultCode code)
{
    return {.decision = ClaimDecision::Refused, .code = code};
}

/// Decides a request whose key is already claimed by another request.
ClaimStep decideByRecord(const schema::ClaimRecord &holder, std::string_view requestHash,
                         bool mayBeUnderWay)
{
    if (holder.request_hash() != requestHash) {
        return refusal(schema::IDEMPOTENCY_KEY_REUSED);
    }
    if (holder.state() == schema::COMPLETED && holder.has_answer()) {
        return {.decision = ClaimDecision::Replay, .answer = holder.answer()};
    }
    const bool isUnderWay = holder.state() == schema::CLAIMED && mayBeUnderWay;
    return refusal(isUnderWay ? schema::CLAIM_IN_PROGRESS : schema::OUTCOME_UNKNOWN);
}

schema::ClaimRecord recordOf(const ClaimRequest &request)
{
    schema::ClaimRecord record;
    record.set_claim_id(request.claimId);
    record.set_request_hash(request.requestHash);
    record.set_state(schema::CLAIMED);
    record.set_ends_unix_ms(request.deadlineUnixMs);
    return record;
}

} // namespace

ClaimTable::ClaimTable(ClaimOptions options) : m_options(options) { }

std::string ClaimTable::storeKey(std::string_view organisation, std::string_view route,
                                 std::string_view idempotencyKey)
{
    std::string whole;
    appendLengthPrefixed(whole, organisation);
    appendLengthPrefixed(whole, route);
    appendLengthPrefixed(whole, idempotencyKey);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(whole.data()), whole.size(), digest.data());
    const std::string_view bytes(reinterpret_cast<const char *>(digest.data()), digest.size());
    return std::string(keyPrefix) + hex(bytes);
}

ClaimStep ClaimTable::begin(const ClaimRequest &request, Instant now)
{
    std::string key = storeKey(request.organisation, request.route, request.idempotencyKey);
    const std::map<std::string, std::string, std::less<>>::iterator holder
            = m_claimIdByStoreKey.find(key);
    if (holder != m_claimIdByStoreKey.end()) {
        const Claim &claim = m_claims.at(holder->second);
        return decideByRecord(claim.record, request.requestHash, true);
    }
    if (m_claims.size() >= m_options.maxClaims) {
        return refusal(schema::IDEMPOTENCY_CLAIM_FAILED);
    }
    m_claimIdByStoreKey.emplace(key, request.claimId);
    Claim &claim = m_claims[request.claimId];
    claim = {.key = std::move(key), .record = recordOf(request), .begun = now};
    return createRecord(claim);
}

ClaimStep ClaimTable::createRecord(Claim &claim)
{
    claim.phase = Phase::Creating;
    ++claim.tries;
    return {.write = WriteClaim{.key = claim.key, .record = claim.record}};
}

ClaimStep ClaimTable::readBack(Claim &claim)
{
    claim.phase = Phase::ReadingBack;
    ++claim.tries;
    return {.read = ReadClaim{.key = claim.key}};
}

ClaimStep ClaimTable::deleteRecord(Claim &claim)
{
    claim.phase = Phase::Releasing;
    ++claim.tries;
    return {.erase = DeleteClaim{.key = claim.key, .expectedRevision = claim.revision}};
}

ClaimStep ClaimTable::writeOutcome(Claim &claim)
{
    claim.phase = Phase::WritingOutcome;
    ++claim.tries;
    return {.write = WriteClaim{
                    .key = claim.key, .record = claim.record, .expectedRevision = claim.revision}};
}

ClaimStep ClaimTable::grant(Claim &claim, uint64_t revision, Instant now) const
{
    claim.revision = revision;
    claim.tries = 0;
    if (claim.isAbandoned) {
        return deleteRecord(claim);
    }
    claim.phase = Phase::Granted;
    return {.decision = ClaimDecision::Granted, .sendDeadline = now + m_options.sendTimeout};
}

ClaimStep ClaimTable::writeDone(std::string_view claimId, ClaimWriteOutcome outcome,
                                uint64_t revision, Instant now)
{
    const Claims::iterator claim = m_claims.find(claimId);
    if (claim == m_claims.end()) {
        return {};
    }
    switch (claim->second.phase) {
    case Phase::Creating:
        return handleCreateResult(claim, outcome, revision, now);
    case Phase::WritingOutcome:
    case Phase::Releasing:
        return handleFinalWriteResult(claim, outcome);
    default:
        return {};
    }
}

ClaimStep ClaimTable::handleCreateResult(Claims::iterator found, ClaimWriteOutcome outcome,
                                         uint64_t revision, Instant now)
{
    Claim &claim = found->second;
    if (outcome == ClaimWriteOutcome::Written) {
        return grant(claim, revision, now);
    }
    claim.mayExist = claim.mayExist || outcome == ClaimWriteOutcome::Unknown;
    if (claim.tries >= m_options.maxTries || (claim.isAbandoned && !claim.mayExist)) {
        return refuseOrRemove(found);
    }
    return outcome == ClaimWriteOutcome::NotSent ? createRecord(claim) : readBack(claim);
}

ClaimStep ClaimTable::readDone(std::string_view claimId, const ClaimReadResult &result, Instant now,
                               int64_t nowUnixMs)
{
    const Claims::iterator found = m_claims.find(claimId);
    if (found == m_claims.end() || found->second.phase != Phase::ReadingBack) {
        return {};
    }
    Claim &claim = found->second;
    if (result.isAnswered && result.record) {
        return result.record->claim_id() == claimId
                       ? grant(claim, result.revision, now)
                       : decideByForeignRecord(found, *result.record, nowUnixMs);
    }
    if (claim.tries >= m_options.maxTries) {
        return refuseOrRemove(found);
    }
    return result.isAnswered && !claim.isAbandoned ? createRecord(claim) : readBack(claim);
}

ClaimStep ClaimTable::decideByForeignRecord(Claims::iterator claim,
                                            const schema::ClaimRecord &other, int64_t nowUnixMs)
{
    const bool isAbandoned = claim->second.isAbandoned;
    ClaimStep step = decideByRecord(other, claim->second.record.request_hash(),
                                    nowUnixMs < other.ends_unix_ms());
    removeClaim(claim);
    return isAbandoned ? ClaimStep() : step;
}

/// Refuses the claim unless it already was. If its record may exist, it is read in order to delete
/// it; otherwise, or if that has failed as well, the claim is removed from the table.
ClaimStep ClaimTable::refuseOrRemove(Claims::iterator found)
{
    Claim &claim = found->second;
    if (claim.isAbandoned || !claim.mayExist) {
        const bool isAlreadyRefused = claim.isAbandoned;
        removeClaim(found);
        return isAlreadyRefused ? ClaimStep() : refusal(schema::IDEMPOTENCY_CLAIM_FAILED);
    }
    claim.isAbandoned = true;
    claim.tries = 0;
    ClaimStep step = readBack(claim);
    step.decision = ClaimDecision::Refused;
    step.code = schema::IDEMPOTENCY_CLAIM_FAILED;
    return step;
}

ClaimStep ClaimTable::complete(std::string_view claimId, ClaimOutcome outcome,
                               const schema::KeptAnswer &answer, Instant /*now*/)
{
    const Claims::iterator found = m_claims.find(claimId);
    if (found == m_claims.end() || found->second.phase != Phase::Granted) {
        return {};
    }
    Claim &claim = found->second;
    if (outcome == ClaimOutcome::NotRun) {
        return deleteRecord(claim);
    }
    const bool isAnswered = outcome == ClaimOutcome::Answered;
    claim.record.set_state(isAnswered ? schema::COMPLETED : schema::OUTCOME_LOST);
    if (isAnswered && answer.ByteSizeLong() <= m_options.maxAnswerBytes) {
        *claim.record.mutable_answer() = answer;
    }
    return writeOutcome(claim);
}

ClaimStep ClaimTable::handleFinalWriteResult(Claims::iterator found, ClaimWriteOutcome outcome)
{
    Claim &claim = found->second;
    const bool shouldRetry
            = outcome == ClaimWriteOutcome::NotSent || outcome == ClaimWriteOutcome::Unknown;
    if (!shouldRetry || claim.tries >= m_options.maxTries) {
        removeClaim(found);
        return {};
    }
    // Retrying is safe: the expected revision ensures that the write is applied at most once.
    return claim.phase == Phase::Releasing ? deleteRecord(claim) : writeOutcome(claim);
}

std::vector<std::string> ClaimTable::expire(Instant now)
{
    std::vector<std::string> expired;
    for (std::pair<const std::string, Claim> &entry : m_claims) {
        Claim &claim = entry.second;
        const bool isPending = claim.phase == Phase::Creating || claim.phase == Phase::ReadingBack;
        const bool isLate = now - claim.begun >= m_options.claimTimeout;
        if (isPending && isLate && !claim.isAbandoned) {
            claim.isAbandoned = true;
            claim.mayExist = true;
            claim.tries = 0;
            expired.push_back(entry.first);
        }
    }
    return expired;
}

void ClaimTable::removeClaim(Claims::iterator claim)
{
    m_claimIdByStoreKey.erase(claim->second.key);
    m_claims.erase(claim);
}

} // namespace teaseldrift
