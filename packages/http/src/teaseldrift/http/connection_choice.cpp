#include "teaseldrift/http/connection_choice.hpp"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace teaseldrift::http {

namespace {

/// Order in which connections are closed; see chooseDisplaced().
int displacementRank(const ConnectionLoad &load, const ConnectionCountLimit &limit)
{
    constexpr int justAccepted = 4;
    switch (load.state) {
    case ConnectionState::New:
        return limit.now - load.since < limit.newConnectionTime ? justAccepted : 0;
    case ConnectionState::Idle:
        return 1;
    case ConnectionState::Incomplete:
        return 2;
    case ConnectionState::Writing:
        return 3;
    case ConnectionState::Handled:
        break;
    }
    return justAccepted;
}

} // namespace

std::vector<size_t> chooseOverBudget(std::span<const ConnectionLoad> connections, size_t limit)
{
    size_t total = 0;
    std::vector<size_t> candidates;
    for (size_t i = 0; i < connections.size(); ++i) {
        if (connections[i].bytes > 0) {
            total += connections[i].bytes;
            candidates.push_back(i);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&](size_t a, size_t b) {
        return std::tie(connections[a].bytes, connections[a].number)
               > std::tie(connections[b].bytes, connections[b].number);
    });
    std::vector<size_t> chosen;
    for (const size_t candidate : candidates) {
        if (total <= limit) {
            break;
        }
        total -= connections[candidate].bytes;
        chosen.push_back(candidate);
    }
    return chosen;
}

std::vector<size_t> chooseDisplaced(std::span<const ConnectionLoad> connections,
                                    const ConnectionCountLimit &limit)
{
    if (connections.size() <= limit.connections) {
        return {};
    }
    std::unordered_map<uint32_t, size_t> countByAddress;
    std::vector<size_t> candidates;
    for (size_t i = 0; i < connections.size(); ++i) {
        ++countByAddress[connections[i].address];
        if (connections[i].state != ConnectionState::Handled) {
            candidates.push_back(i);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&](size_t a, size_t b) {
        const ConnectionLoad &first = connections[a];
        const ConnectionLoad &second = connections[b];
        const int firstRank = displacementRank(first, limit);
        const int secondRank = displacementRank(second, limit);
        return std::tie(firstRank, first.since, first.number)
               < std::tie(secondRank, second.since, second.number);
    });
    const size_t excess = connections.size() - limit.connections;
    const size_t maxPerAddress
            = static_cast<size_t>(static_cast<double>(limit.connections) * limit.addressShare);
    std::vector<size_t> chosen;
    std::vector<size_t> others;
    for (const size_t candidate : candidates) {
        size_t &count = countByAddress[connections[candidate].address];
        if (countByAddress.size() > 1 && count > maxPerAddress && chosen.size() < excess) {
            --count;
            chosen.push_back(candidate);
        } else {
            others.push_back(candidate);
        }
    }
    for (const size_t other : others) {
        if (chosen.size() >= excess) {
            break;
        }
        chosen.push_back(other);
    }
    return chosen;
}

} // namespace teaseldrift::http
