#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief The crash of one incarnation of a target, and the segments that may have caused it.
///
/// VMs merge their records of the same crash. Merging is idempotent and independent of the order:
/// suspects are only added, and a cleared suspect stays cleared.
struct CrashRecord
{
    /// From crashIdOf().
    uint64_t id = 0;
    std::string target;
    std::string model;
    Instant observedAt;
    /// Whether a target has answered a request for the model since the crash.
    bool isFollowedByAnswer = false;
    /// Segments of the requests that the crash broke off, and whether they are cleared: a target
    /// has answered a request with the segment since the crash, or an operator has lifted it.
    std::map<uint64_t, bool> suspects;

    [[nodiscard]] bool hasSuspect() const;
    [[nodiscard]] bool isSuspect(uint64_t segment) const;
};

/// @brief Identifies the crash of an incarnation of a target while it ran a model.
uint64_t crashIdOf(std::string_view target, uint64_t startedAtMs, std::string_view model);

} // namespace teaseldrift
