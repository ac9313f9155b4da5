#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "teaseldrift/allowance/tokens.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/allowance.pb.h"

namespace teaseldrift::allowance {

/// @brief Account of the transfers between this VM and another member.
///
/// A session lasts as long as both processes live. Each side counts what it transferred to the
/// other and what it applied of the other's transfers. The balance is a loan of base share from one
/// side to the other.
struct PeerAccount
{
    /// Identifies the peer's process; 0 without a session.
    uint64_t incarnation = 0;
    /// Units of this VM's base share that the peer held when the session began.
    ShareUnits initialLent = 0;
    /// Units of the peer's base share that this VM held when the session began.
    ShareUnits initialHeld = 0;
    uint64_t givenUnits = 0;
    MicroTokens givenTokens = 0;
    uint64_t appliedUnits = 0;
    MicroTokens appliedTokens = 0;
    /// Totals that the peer has reported as applied.
    uint64_t ackedUnits = 0;
    MicroTokens ackedTokens = 0;

    /// @brief Units of this VM's base share that the peer holds or that are in flight to it.
    [[nodiscard]] ShareUnits lent() const { return positive(balance()); }
    /// @brief Units of the peer's base share that this VM holds.
    [[nodiscard]] ShareUnits held() const { return positive(-balance()); }
    [[nodiscard]] bool isAcknowledged() const
    {
        return ackedUnits == givenUnits && ackedTokens == givenTokens;
    }

    /// @brief Resets the account for a process that replaces the previous one, which is dead.
    ///
    /// Units that the dead process held of this VM's base share return without tokens. Units that
    /// this VM holds of the peer's base share stay here; the handshake reports them to the new
    /// process.
    void restart(uint64_t newIncarnation);

private:
    [[nodiscard]] int64_t balance() const
    {
        return static_cast<int64_t>(initialLent) - static_cast<int64_t>(initialHeld)
               + static_cast<int64_t>(givenUnits) - static_cast<int64_t>(appliedUnits);
    }
    static ShareUnits positive(int64_t units)
    {
        return units > 0 ? static_cast<ShareUnits>(units) : 0;
    }
};

/// @brief State of the handshakes with a peer in both directions.
struct PeerHandshake
{
    /// The peer has reported what it holds of this VM's base share.
    bool welcomed = false;
    uint64_t helloNonce = 0;
    Instant helloAt{};
    uint64_t challengedIncarnation = 0;
    uint64_t challengeNonce = 0;
    std::vector<schema::KnownIncarnation> reportedIncarnations;
};

/// @brief State that a peer last reported about itself; it may be outdated.
struct PeerHint
{
    bool known = false;
    Instant at{};
    MicroTokens level = 0;
    ShareUnits share = 0;
    double demand = 0.0;
};

/// @brief The part of a peer's request for tokens that has not been met.
struct UnmetNeed
{
    uint64_t requestId = 0;
    MicroTokens tokens = 0;
    Instant until{};
};

/// @brief State kept about another member.
struct Peer
{
    std::string vm;
    Instant knownSince{};
    /// The VM was removed from the platform's list.
    bool gone = false;
    PeerAccount account;
    PeerHandshake handshake;
    PeerHint hint;
    UnmetNeed need;
    /// Id of this VM's request for tokens that the peer has not answered; 0 for none.
    uint64_t awaitedRequest = 0;
    Instant unresponsiveUntil{};
    Instant reportedAt{};
    double reportedDemand = 0.0;
};

/// @brief Account with one member, as AllowanceManager::accounts() reports it.
struct MemberAccount
{
    std::string vm;
    bool gone = false;
    PeerAccount account;
};

/// @brief What one VM knows of an organisation's division.
struct DivisionState
{
    /// Incarnation that this VM's messages name.
    uint64_t incarnation = 0;
    bool isActive = false;
    schema::DivisionRecord record;
    std::vector<MemberAccount> accounts;
};

} // namespace teaseldrift::allowance
