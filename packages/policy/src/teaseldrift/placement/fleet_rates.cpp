#include "teaseldrift/placement/fleet_rates.hpp"

#include <algorithm>
#include <bit>

namespace teaseldrift::placement {

namespace {

/// Cells of the hash table per prefix of a peer, so that few prefixes share a cell.
constexpr size_t cellsPerPrefix = 32;

} // namespace

FleetRates::FleetRates(const FleetRatesOptions &options)
    : m_options(options),
      m_cells(std::bit_ceil(std::max<size_t>(1, options.maxPrefixesPerPeer * cellsPerPrefix)))
{ }

void FleetRates::setPeerRates(std::string_view peerId, std::span<const HotPrefix> prefixes,
                              Instant now)
{
    std::erase_if(m_peers, [this, peerId, now](const Peer &peer) {
        return peer.id == peerId || now - peer.receivedAt > m_options.maxAge;
    });
    if (m_peers.size() < m_options.maxPeers) {
        const size_t taken = std::min(prefixes.size(), m_options.maxPrefixesPerPeer);
        m_peers.push_back(
                {.id = std::string(peerId),
                 .receivedAt = now,
                 .prefixes = {prefixes.begin(), prefixes.begin() + static_cast<ptrdiff_t>(taken)}});
    }
    rebuild();
}

void FleetRates::rebuild()
{
    std::ranges::fill(m_cells, Cell{});
    for (const Peer &peer : m_peers) {
        for (const HotPrefix &prefix : peer.prefixes) {
            Cell &cell = m_cells[prefix.hash & (m_cells.size() - 1)];
            const bool usable = prefix.requestsPerSecond > 0.0;
            if (!usable || (cell.peers > 0 && cell.hash != prefix.hash)) {
                continue;
            }
            cell.hash = prefix.hash;
            cell.sum += prefix.requestsPerSecond;
            ++cell.peers;
        }
    }
}

size_t FleetRates::memoryBytes() const
{
    return m_cells.size() * sizeof(Cell)
           + m_peers.size() * m_options.maxPrefixesPerPeer * sizeof(HotPrefix);
}

} // namespace teaseldrift::placement
