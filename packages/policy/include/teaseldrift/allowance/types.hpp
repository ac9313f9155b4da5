#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaseldrift/allowance/tokens.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/allowance.pb.h"
#include "teaseldrift/schema/result_code.pb.h"

namespace teaseldrift::allowance {

/// @brief This process.
struct ProcessIdentity
{
    std::string vm;
    /// Different in each process that ever ran on the VM, never 0.
    uint64_t incarnation = 0;
};

enum class Verdict {
    Admitted,
    /// The decision follows in Actions::decisions.
    Pending,
    Refused,
};

/// @brief Proof of an admission, with which unused tokens are given back.
struct Ticket
{
    MicroTokens cost = 0;
    /// Moment of the admission, as LocalTokenBucket::sequence() names it.
    uint64_t sequence = 0;
    /// VM that admitted the request; empty for this one.
    std::string vm;
    uint64_t vmIncarnation = 0;
    uint64_t requestId = 0;
};

/// @brief Answer to a question for tokens.
struct Decision
{
    /// Names a pending question.
    uint64_t requestId = 0;
    Verdict verdict = Verdict::Refused;
    /// Why it was refused.
    schema::ResultCode code = schema::OK;
    /// When the tokens may be there.
    Duration retryAfter{0};
    /// Valid if admitted.
    Ticket ticket;
};

/// @brief A message for another VM.
struct OutgoingMessage
{
    std::string vm;
    schema::AllowanceMessage message;
};

/// @brief Compare-and-swap of an organisation's division record.
struct RecordWrite
{
    std::string organisation;
    schema::DivisionRecord record;
    /// Store revision of the record that it replaces; 0 if there must be none.
    uint64_t expectedRevision = 0;
};

struct RecordRead
{
    std::string organisation;
};

/// @brief Answer to a RecordRead.
struct RecordReadResult
{
    /// The read failed; the other members mean nothing.
    bool failed = false;
    std::optional<schema::DivisionRecord> record;
    uint64_t revision = 0;
};

enum class RecordWriteOutcome {
    Written,
    Conflict,
    NotSent,
    /// The answer was lost.
    Unknown,
};

struct PendingDecision
{
    std::string organisation;
    Decision decision;
};

/// @brief What the caller must do next.
struct Actions
{
    std::vector<OutgoingMessage> messages;
    std::vector<RecordRead> reads;
    std::vector<RecordWrite> writes;
    std::vector<PendingDecision> decisions;

    [[nodiscard]] bool empty() const
    {
        return messages.empty() && reads.empty() && writes.empty() && decisions.empty();
    }
};

} // namespace teaseldrift::allowance
