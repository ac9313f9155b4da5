#include "teaseldrift/placement/choice.hpp"

#include <cstdio>

namespace teaseldrift::placement {

namespace {

const char *nameOf(ChoiceOutcome outcome)
{
    switch (outcome) {
    case ChoiceOutcome::Dispatch:
        return "dispatch";
    case ChoiceOutcome::NoRoom:
        return "no_room";
    case ChoiceOutcome::NoTarget:
        return "no_target";
    }
    return "unknown";
}

const char *nameOf(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::None:
        return "none";
    case ChoiceReason::CachedPrefix:
        return "cached_prefix";
    case ChoiceReason::PlacedPrefix:
        return "placed_prefix";
    case ChoiceReason::Load:
        return "load";
    }
    return "unknown";
}

std::string milliseconds(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.1f", toSeconds(duration) * 1e3);
    return text;
}

} // namespace

std::string explain(const Choice &choice, std::span<const TargetView> targets)
{
    std::string text = std::string("outcome=") + nameOf(choice.outcome);
    if (choice.outcome != ChoiceOutcome::Dispatch || choice.target >= targets.size()) {
        return text;
    }
    text.append(" target=").append(targets[choice.target].id);
    text.append(" reason=").append(nameOf(choice.reason));
    text.append(" wait_ms=").append(milliseconds(choice.expectedWait));
    text.append(" prefill_ms=").append(milliseconds(choice.expectedPrefill));
    text.append(" prefill_tokens=").append(std::to_string(choice.prefillTokens));
    text.append(" cached_blocks=").append(std::to_string(static_cast<int>(choice.expectedBlocks)));
    text.append(" considered=").append(std::to_string(choice.considered));
    text.append(" replicas=").append(std::to_string(choice.replicas));
    if (choice.import && choice.import->source < targets.size()) {
        text.append(" import_from=").append(targets[choice.import->source].id);
        text.append(" import_blocks=").append(std::to_string(choice.import->blocks));
        text.append(" import_ms=").append(milliseconds(choice.expectedImport));
    }
    return text;
}

} // namespace teaseldrift::placement
