#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/placement/hot_prefix_sketch.hpp"

namespace teaseldrift::placement {

struct FleetRatesOptions
{
    size_t maxPeers = 16;
    size_t maxPrefixesPerPeer = 128;
    /// Age beyond which a peer's rates are removed, checked whenever a peer's rates arrive.
    Duration maxAge = 15s;
};

/// @brief Request rates of the hottest prefixes, averaged over this VM and its peers.
///
/// Averaging gives all VMs nearly the same rate of a hot prefix, and so the same number of
/// replicas. While no peer has reported, a VM uses its own rates.
class FleetRates
{
public:
    explicit FleetRates(const FleetRatesOptions &options = {});

    /// @brief Replaces the rates reported by a peer.
    void setPeerRates(std::string_view peerId, std::span<const HotPrefix> prefixes, Instant now);

    /// @brief Mean rate of a prefix over this VM and the peers that report it.
    double meanRate(uint64_t hash, double localRate) const
    {
        const Cell &cell = m_cells[hash & (m_cells.size() - 1)];
        return cell.hash == hash && cell.peers > 0 ? (cell.sum + localRate) / (cell.peers + 1.0)
                                                   : localRate;
    }

    size_t memoryBytes() const;

private:
    struct Peer
    {
        std::string id;
        Instant receivedAt{};
        std::vector<HotPrefix> prefixes;
    };
    struct Cell
    {
        uint64_t hash = 0;
        double sum = 0.0;
        uint32_t peers = 0;
    };

    void rebuild();

    FleetRatesOptions m_options;
    std::vector<Peer> m_peers;
    std::vector<Cell> m_cells;
};

} // namespace teaseldrift::placement
