#include "limit_claim_messages.hpp"

#include <cmath>

#include "teaseldrift/schema/vm_record.pb.h"

namespace teaseldrift::relay {

namespace {

schema::LimitClaimReply::Outcome toMessage(LimitClaimReply::Outcome outcome)
{
    switch (outcome) {
    case LimitClaimReply::Outcome::HandedOver:
        return schema::LimitClaimReply::HANDED_OVER;
    case LimitClaimReply::Outcome::Refused:
        return schema::LimitClaimReply::REFUSED;
    case LimitClaimReply::Outcome::NotOwner:
        break;
    }
    return schema::LimitClaimReply::NOT_OWNER;
}

std::optional<LimitClaimReply::Outcome> fromMessage(schema::LimitClaimReply::Outcome outcome)
{
    switch (outcome) {
    case schema::LimitClaimReply::NOT_OWNER:
        return LimitClaimReply::Outcome::NotOwner;
    case schema::LimitClaimReply::HANDED_OVER:
        return LimitClaimReply::Outcome::HandedOver;
    case schema::LimitClaimReply::REFUSED:
        return LimitClaimReply::Outcome::Refused;
    default:
        return {};
    }
}

} // namespace

std::string writeLimitClaimReply(const LimitClaimReply &reply)
{
    schema::LimitClaimReply message;
    message.set_outcome(toMessage(reply.outcome));
    message.set_owner(reply.owner);
    if (reply.level) {
        message.set_level(*reply.level);
    }
    message.set_started_recently(reply.startedRecently);
    message.set_extended_owner(reply.extendedOwner);
    for (const LimitCandidate &candidate : reply.candidates) {
        schema::LimitClaimReply::Candidate &entry = *message.add_candidates();
        entry.set_vm_id(candidate.vm);
        entry.set_age_us(candidate.age.count());
    }
    return message.SerializeAsString();
}

std::optional<LimitClaimReply> readLimitClaimReply(std::string_view text)
{
    schema::LimitClaimReply message;
    if (!message.ParseFromArray(text.data(), static_cast<int>(text.size()))) {
        return {};
    }
    const std::optional<LimitClaimReply::Outcome> outcome = fromMessage(message.outcome());
    if (!outcome || (message.has_level() && !std::isfinite(message.level()))) {
        return {};
    }
    LimitClaimReply reply{.outcome = *outcome,
                          .owner = message.owner(),
                          .startedRecently = message.started_recently(),
                          .extendedOwner = message.extended_owner()};
    if (message.has_level()) {
        reply.level = message.level();
    }
    for (const schema::LimitClaimReply::Candidate &candidate : message.candidates()) {
        reply.candidates.push_back({.vm = candidate.vm_id(), .age = Duration(candidate.age_us())});
    }
    return reply;
}

std::string_view name(LimitClaimOutcome outcome)
{
    switch (outcome) {
    case LimitClaimOutcome::HandedOver:
        return "handed_over";
    case LimitClaimOutcome::Unowned:
        return "unowned";
    case LimitClaimOutcome::OwnedByOther:
        return "owned_by_other";
    case LimitClaimOutcome::Blocked:
        break;
    }
    return "blocked";
}

} // namespace teaseldrift::relay
