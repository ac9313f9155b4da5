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

/// @brief A configuration with the rates at which its engines import KV cache.
struct DefinitionRecord
{
    FleetDefinition definition;
    /// Tokens a millisecond by service.
    std::map<std::string, double, std::less<>> importRates;
};

/// @brief Weights that the operators have named.
struct WeightsRecord
{
    std::string model;
    uint64_t version = 0;
};

/// @brief An operators' record; empty if it is of no known kind or cannot be read.
using OperatorRecord = std::variant<std::monostate, DefinitionRecord, WeightsRecord>;

/// @brief Where a deployment keeps the operators' records and the targets' registrations, and how
/// they are read.
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
