#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "teaseldrift/allowance/tokens.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/schema/allowance.pb.h"

namespace teaseldrift::allowance {

/// @brief Account with another member of a division.
///
/// A session lasts while both processes live. In it each side counts what it gave and what it
/// applied of the other's gifts. The difference is a loan of one side's base share to the other.
struct PeerAccount
{
    /// The peer's process; 0 without a session.
    uint64_t incarnation = 0;
    /// What the peer held of our base share when the session began.
    ShareUnits initialLent = 0;
    /// What we held of the peer's base share when the session began.
    ShareUnits initialHeld = 0;
    uint64_t givenUnits = 0;
    MicroTokens givenTokens = 0;
    uint64_t appliedUnits = 0;
    MicroTokens appliedTokens = 0;
    /// What the peer has applied, as far as it said.
    uint64_t ackedUnits = 0;
    MicroTokens ackedTokens = 0;

    /// @brief Share of ours that the peer has, or that is on its way there.
    [[nodiscard]] ShareUnits lent() const { return positive(balance()); }
    /// @brief Share of the peer's that we have.
    [[nodiscard]] ShareUnits held() const { return positive(-balance()); }
    [[nodiscard]] bool isAcknowledged() const
    {
        return ackedUnits == givenUnits && ackedTokens == givenTokens;
    }

    /// @brief Starts anew with a process that replaced the former one, which is dead.
    ///
    /// What the dead process had of ours returns without tokens; what we have of the peer's
    /// base share stays with us, and the new process is told.
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

/// @brief Steps of the handshake with a peer, in both directions.
struct PeerHandshake
{
    /// The peer has told what it holds of our base share.
    bool welcomed = false;
    uint64_t helloNonce = 0;
    Instant helloAt{};
    uint64_t challengedIncarnation = 0;
    uint64_t challengeNonce = 0;
    std::vector<schema::KnownIncarnation> reportedIncarnations;
};

/// @brief What a peer said last about itself.
struct PeerHint
{
    bool known = false;
    Instant at{};
    MicroTokens level = 0;
    ShareUnits share = 0;
    double demand = 0.0;
};

/// @brief A peer's question for tokens that could not be met in full.
struct UnmetNeed
{
    uint64_t requestId = 0;
    MicroTokens tokens = 0;
    Instant until{};
};

/// @brief Everything kept about another member.
struct Peer
{
    std::string vm;
    Instant knownSince{};
    /// Left the platform's list.
    bool gone = false;
    PeerAccount account;
    PeerHandshake handshake;
    PeerHint hint;
    UnmetNeed need;
    /// Our question that it has not answered; 0 for none.
    uint64_t awaitedRequest = 0;
    Instant unresponsiveUntil{};
    Instant reportedAt{};
    double reportedDemand = 0.0;
};

} // namespace teaseldrift::allowance
