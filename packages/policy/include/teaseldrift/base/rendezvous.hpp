#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace teaseldrift {

/// @brief A member that rendezvous hashing can choose.
struct RendezvousMember
{
    /// Stable identity; the view must outlive the call.
    std::string_view id;
    /// Share of keys relative to other members; at most 0 means never chosen.
    double weight = 1.0;
};

/// @brief Score of one member for one key. The member with the highest score owns the key.
/// @return a positive score that grows with the weight, 0 if the weight is not positive
double rendezvousScore(uint64_t key, std::string_view memberId, double weight = 1.0);

/// @brief The first `count` members in rendezvous order for a key.
///
/// Every caller with the same members computes the same answer, and a member's departure moves
/// only the keys that it owned.
///
/// ```cpp
/// std::vector<size_t> homes = rendezvousOrder(key, members, 3);
/// ```
/// @return indices into `members`, best first
std::vector<size_t> rendezvousOrder(uint64_t key, std::span<const RendezvousMember> members,
                                    size_t count);

/// @brief Hash of a text as a rendezvous key.
uint64_t rendezvousKey(std::string_view text);

} // namespace teaseldrift
