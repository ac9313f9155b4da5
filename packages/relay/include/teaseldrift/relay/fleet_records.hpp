#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "teaseldrift/routing/fleet_definition.hpp"
#include "teaseldrift/targets/target_directory.hpp"

namespace teaseldrift::relay {

/// @brief A configuration and the rates at which its engines import KV cache.
struct DefinitionRecord
{
    FleetDefinition definition;
    /// Tokens per millisecond, by service name.
    std::map<std::string, double, std::less<>> importRates;
};

/// @brief How this VM received an operators' record.
enum class RecordOrigin {
    /// With the first read after the start: it may be of any age.
    FirstRead,
    /// With another read, after a gap in which more than one change may have been missed.
    Reread,
    /// As one change; none was missed before it.
    Change,
};

/// @brief The weights version that the operators want for a model.
struct WeightsRecord
{
    std::string model;
    uint64_t version = 0;
};

/// @brief The operators' order to move a service's traffic to another software version.
struct RolloutRecord
{
    std::string service;
    std::string version;
    /// Time within which the rollout is to end.
    Duration duration{0};
};

/// @brief A parsed operators' record; empty if its kind is unknown or it cannot be parsed.
using OperatorRecord = std::variant<std::monostate, DefinitionRecord, WeightsRecord, RolloutRecord>;

/// @brief Store prefixes of the operators' records and of the targets' registrations, and their
/// parsers.
template <typename R>
concept FleetRecords = requires(const R &records, std::string_view text)
{
    {
        records.operatorPrefix()
        } -> std::convertible_to<std::string_view>;
    {
        records.targetPrefix()
        } -> std::convertible_to<std::string_view>;
    {
        records.readOperatorRecord(text, text)
        } -> std::same_as<OperatorRecord>;
    {
        records.readTarget(text, text)
        } -> std::same_as<std::optional<TargetEntry>>;
};

} // namespace teaseldrift::relay
