#include "teaseldrift/idempotency/claim_table.hpp"

#include <array>
#include <utility>

#include <openssl/sha.h>

namespace teaseldrift {

namespace {

constexpr std::string_view keyPrefix = "claims/";

/// Adds a part with its length, so that two different lists of parts never look alike.
void addPart(std::string &whole, std::string_view part)
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
    return {.verdict = ClaimVerdict::Refused, .code = code};
}

/// What a request is told whose key is claimed by another.
ClaimStep judgeKnown(const schema::ClaimRecord &holder, std::string_view requestHash,
                     bool mayBeUnderWay)
{
    if (holder.request_hash() != requestHash) {
        return refusal(schema::IDEMPOTENCY_KEY_REUSED);
    }
    if (holder.state() == schema::COMPLETED && holder.has_answer()) {
        return {.verdict = ClaimVerdict::Replay, .answer = holder.answer()};
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
    record.set_ends_unix_ms(request.endsUnixMs);
    return record;
}

} // namespace

ClaimTable::ClaimTable(ClaimOptions options) : m_options(options) { }

std::string ClaimTable::storeKey(std::string_view organisation, std::string_view route,
                                 std::string_view idempotencyKey)
{
    std::string whole;
    addPart(whole, organisation);
    addPart(whole, route);
    addPart(whole, idempotencyKey);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(whole.data()), whole.size(), digest.data());
    const std::string_view bytes(reinterpret_cast<const char *>(digest.data()), digest.size());
    return std::string(keyPrefix) + hex(bytes);
}

ClaimStep ClaimTable::begin(const ClaimRequest &request, Instant now)
{
    std::string key = storeKey(request.organisation, request.route, request.idempotencyKey);
    const std::map<std::string, std::string, std::less<>>::iterator holder = m_byKey.find(key);
    if (holder != m_byKey.end()) {
        const Claim &claim = m_claims.at(holder->second);
        return judgeKnown(claim.record, request.requestHash, true);
    }
    if (m_claims.size() >= m_options.maxClaims) {
        return refusal(schema::IDEMPOTENCY_CLAIM_FAILED);
    }
    m_byKey.emplace(key, request.claimId);
    Claim &claim = m_claims[request.claimId];
    claim = {.key = std::move(key), .record = recordOf(request), .begun = now};
    return create(claim);
}

ClaimStep ClaimTable::create(Claim &claim)
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

ClaimStep ClaimTable::release(Claim &claim)
{
    claim.phase = Phase::Releasing;
    ++claim.tries;
    return {.erase = DeleteClaim{.key = claim.key, .expectedRevision = claim.revision}};
}

ClaimStep ClaimTable::record(Claim &claim)
{
    claim.phase = Phase::Recording;
    ++claim.tries;
    return {.write = WriteClaim{
                    .key = claim.key, .record = claim.record, .expectedRevision = claim.revision}};
}

ClaimStep ClaimTable::grant(Claim &claim, uint64_t revision, Instant now) const
{
    claim.revision = revision;
    claim.tries = 0;
    if (claim.isAbandoned) {
        return release(claim);
    }
    claim.phase = Phase::Granted;
    return {.verdict = ClaimVerdict::Granted, .sendUntil = now + m_options.sendWithin};
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
        return createdDone(claim, outcome, revision, now);
    case Phase::Recording:
    case Phase::Releasing:
        return endDone(claim, outcome);
    default:
        return {};
    }
}

ClaimStep ClaimTable::createdDone(Claims::iterator found, ClaimWriteOutcome outcome,
                                  uint64_t revision, Instant now)
{
    Claim &claim = found->second;
    if (outcome == ClaimWriteOutcome::Written) {
        return grant(claim, revision, now);
    }
    claim.mayExist = claim.mayExist || outcome == ClaimWriteOutcome::Unknown;
    if (claim.tries >= m_options.maxTries || (claim.isAbandoned && !claim.mayExist)) {
        return giveUp(found);
    }
    return outcome == ClaimWriteOutcome::NotSent ? create(claim) : readBack(claim);
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
        return result.record->claim_id() == claimId ? grant(claim, result.revision, now)
                                                    : judgeOther(found, *result.record, nowUnixMs);
    }
    if (claim.tries >= m_options.maxTries) {
        return giveUp(found);
    }
    return result.isAnswered && !claim.isAbandoned ? create(claim) : readBack(claim);
}

ClaimStep ClaimTable::judgeOther(Claims::iterator claim, const schema::ClaimRecord &other,
                                 int64_t nowUnixMs)
{
    const bool isAbandoned = claim->second.isAbandoned;
    ClaimStep step = judgeKnown(other, claim->second.record.request_hash(),
                                nowUnixMs < other.ends_unix_ms());
    forget(claim);
    return isAbandoned ? ClaimStep() : step;
}

/// Refuses once; what may exist of the claim is then looked for and removed.
ClaimStep ClaimTable::giveUp(Claims::iterator found)
{
    Claim &claim = found->second;
    if (claim.isAbandoned || !claim.mayExist) {
        const bool isTold = claim.isAbandoned;
        forget(found);
        return isTold ? ClaimStep() : refusal(schema::IDEMPOTENCY_CLAIM_FAILED);
    }
    claim.isAbandoned = true;
    claim.tries = 0;
    ClaimStep step = readBack(claim);
    step.verdict = ClaimVerdict::Refused;
    step.code = schema::IDEMPOTENCY_CLAIM_FAILED;
    return step;
}

ClaimStep ClaimTable::end(std::string_view claimId, ClaimEnd end, const schema::KeptAnswer &answer,
                          Instant /*now*/)
{
    const Claims::iterator found = m_claims.find(claimId);
    if (found == m_claims.end() || found->second.phase != Phase::Granted) {
        return {};
    }
    Claim &claim = found->second;
    if (end == ClaimEnd::NotRun) {
        return release(claim);
    }
    const bool isAnswered = end == ClaimEnd::Answered;
    claim.record.set_state(isAnswered ? schema::COMPLETED : schema::OUTCOME_LOST);
    if (isAnswered && answer.ByteSizeLong() <= m_options.maxAnswerBytes) {
        *claim.record.mutable_answer() = answer;
    }
    return record(claim);
}

ClaimStep ClaimTable::endDone(Claims::iterator found, ClaimWriteOutcome outcome)
{
    Claim &claim = found->second;
    const bool isTriedAgain
            = outcome == ClaimWriteOutcome::NotSent || outcome == ClaimWriteOutcome::Unknown;
    if (!isTriedAgain || claim.tries >= m_options.maxTries) {
        forget(found);
        return {};
    }
    // The expected revision lets the write take effect once, however often it is sent.
    return claim.phase == Phase::Releasing ? release(claim) : record(claim);
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

void ClaimTable::forget(Claims::iterator claim)
{
    m_byKey.erase(claim->second.key);
    m_claims.erase(claim);
}

} // namespace teaseldrift
