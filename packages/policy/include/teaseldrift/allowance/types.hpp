#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/allowance/tokens.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/allowance.pb.h"
#include "teaseldrift/schema/result_code.pb.h"

namespace teaseldrift::allowance {

/// @brief Identity of this process.
struct ProcessIdentity
{
    std::string vm;
    /// Unique among all processes that ever ran on the VM; never 0.
    uint64_t incarnation = 0;
};

enum class Verdict {
    Admitted,
    /// The final decision follows in Actions::decisions.
    Pending,
    Refused,
};

/// @brief Identifies an admission when its unused tokens are refunded.
struct Ticket
{
    MicroTokens cost = 0;
    /// LocalTokenBucket::sequence() at the admission.
    uint64_t sequence = 0;
    /// VM that admitted the request; empty for this VM.
    std::string vm;
    uint64_t vmIncarnation = 0;
    uint64_t requestId = 0;
};

/// @brief Outcome of a request for tokens.
struct Decision
{
    /// Identifies the request while it is pending.
    uint64_t requestId = 0;
    Verdict verdict = Verdict::Refused;
    /// Reason of a refusal.
    schema::ResultCode code = schema::OK;
    /// Time after which the tokens may be available.
    Duration retryAfter{0};
    /// Set if the request was admitted.
    Ticket ticket;
};

/// @brief A message for another VM.
struct OutgoingMessage
{
    std::string vm;
    schema::AllowanceMessage message;
};

/// @brief Compare-and-swap write of an organisation's division record.
struct RecordWrite
{
    std::string organisation;
    schema::DivisionRecord record;
    /// Store revision of the record to be replaced; 0 if none may exist.
    uint64_t expectedRevision = 0;
};

struct RecordRead
{
    std::string organisation;
};

/// @brief Result of a RecordRead.
struct RecordReadResult
{
    /// The read failed; the other fields are not set.
    bool failed = false;
    std::optional<schema::DivisionRecord> record;
    uint64_t revision = 0;
};

enum class RecordWriteOutcome {
    Written,
    Conflict,
    NotSent,
    /// The response was lost; the write may have been executed.
    Unknown,
};

struct PendingDecision
{
    std::string organisation;
    Decision decision;
};

/// @brief A message that was refused because it contradicts this VM's state.
struct RefusedMessage
{
    std::string organisation;
    std::string vm;
    /// A constant.
    std::string_view reason;
};

/// @brief What the caller must do: send messages, access the store, deliver decisions.
struct Actions
{
    /// Messages refused since the last takeActions(), the first few of them, for the log.
    std::vector<RefusedMessage> refused;
    std::vector<OutgoingMessage> messages;
    std::vector<RecordRead> reads;
    std::vector<RecordWrite> writes;
    std::vector<PendingDecision> decisions;

    [[nodiscard]] bool empty() const
    {
        return messages.empty() && reads.empty() && writes.empty() && decisions.empty()
               && refused.empty();
    }
};

} // namespace teaseldrift::allowance
