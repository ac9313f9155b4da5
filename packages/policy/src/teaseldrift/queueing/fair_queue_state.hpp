#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::queueing {

/// A waiting request, ordered within its organisation by priority, deadline and arrival.
struct WaitingRequest
{
    int32_t priority = 0;
    Instant dispatchBy{};
    uint64_t arrival = 0;
    uint64_t id = 0;
    double cost = 0.0;

    bool operator<(const WaitingRequest &other) const
    {
        if (priority != other.priority) {
            return priority > other.priority;
        }
        if (dispatchBy != other.dispatchBy) {
            return dispatchBy < other.dispatchBy;
        }
        return arrival < other.arrival;
    }
};

struct Organisation
{
    std::string name;
    double weight = 1.0;
    /// Virtual start time of its next request.
    double startTag = 0.0;
    double backlog = 0.0;
    std::set<WaitingRequest> waiting;
};

struct StringHash
{
    using is_transparent = void;
    size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};

/// An organisation with waiting requests, ordered by start tag.
struct ScheduledOrganisation
{
    double startTag = 0.0;
    Organisation *organisation = nullptr;

    bool operator<(const ScheduledOrganisation &other) const
    {
        return startTag != other.startTag ? startTag < other.startTag
                                          : organisation->name < other.organisation->name;
    }
};

/// Virtual time at one instant.
struct VirtualTimeSample
{
    Instant sampledAt{};
    double virtualTime = 0.0;
};

struct QueueEntry
{
    Organisation *organisation = nullptr;
    WaitingRequest waiting;
};

} // namespace teaseldrift::queueing
