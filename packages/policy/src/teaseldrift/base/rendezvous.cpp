#include "teaseldrift/base/rendezvous.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace teaseldrift {

double rendezvousScore(uint64_t key, std::string_view memberId, double weight)
{
    if (weight <= 0.0) {
        return 0.0;
    }
    constexpr int mantissaShift = 11;
    constexpr double mantissaRange = 9007199254740993.0; // 2^53 + 1 keeps the fraction below 1.
    const uint64_t hash = XXH3_64bits_withSeed(memberId.data(), memberId.size(), key);
    const double fraction = (static_cast<double>(hash >> mantissaShift) + 1.0) / mantissaRange;
    return weight / -std::log(fraction);
}

std::vector<size_t> rendezvousOrder(uint64_t key, std::span<const RendezvousMember> members,
                                    size_t count)
{
    struct Scored
    {
        double score;
        size_t index;
    };
    std::vector<Scored> scored;
    scored.reserve(members.size());
    for (size_t i = 0; i < members.size(); ++i) {
        const double score = rendezvousScore(key, members[i].id, members[i].weight);
        if (score > 0.0) {
            scored.push_back({score, i});
        }
    }
    const size_t kept = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                      scored.end(), [&members](const Scored &left, const Scored &right) {
                          return left.score != right.score
                                         ? left.score > right.score
                                         : members[left.index].id < members[right.index].id;
                      });
    std::vector<size_t> order;
    order.reserve(kept);
    for (size_t i = 0; i < kept; ++i) {
        order.push_back(scored[i].index);
    }
    return order;
}

uint64_t rendezvousKey(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

double spreadFactor(std::string_view id)
{
    constexpr uint64_t steps = 1024;
    return 0.5 + static_cast<double>(rendezvousKey(id) % steps) / (2.0 * steps);
}

} // namespace teaseldrift
