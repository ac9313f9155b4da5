#include "teaseldrift/allowance/peer.hpp"

namespace teaseldrift::allowance {

void PeerAccount::restart(uint64_t newIncarnation)
{
    const ShareUnits stillHeld = held();
    *this = PeerAccount{};
    incarnation = newIncarnation;
    initialHeld = stillHeld;
}

} // namespace teaseldrift::allowance
