#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace teaseldrift {

/// @brief A candidate for rendezvous (highest random weight) hashing.
struct RendezvousMember
{
    /// Stable identifier; the string must outlive the call.
    std::string_view id;
    /// Relative share of the keys. A member with a weight of 0 or less is never selected.
    double weight = 1.0;
};

/// @brief Score of a member for a key. The member with the highest score owns the key.
/// @return a positive score that increases with the weight; 0 if the weight is not positive
double rendezvousScore(uint64_t key, std::string_view memberId, double weight = 1.0);

/// @brief The first `count` members in rendezvous order for a key.
///
/// The result depends only on the key and the set of members. Removing a member moves only the
/// keys that it owned.
///
/// ```cpp
/// std::vector<size_t> homes = rendezvousOrder(key, members, 3);
/// ```
/// @return indices into `members`, highest score first
std::vector<size_t> rendezvousOrder(uint64_t key, std::span<const RendezvousMember> members,
                                    size_t count);

/// @brief Hashes a string to a rendezvous key.
uint64_t rendezvousKey(std::string_view text);

/// @brief Returns a factor from 0.5 up to 1, always the same for an id, that spreads delays which
/// would otherwise end together.
double spreadFactor(std::string_view id);

} // namespace teaseldrift
