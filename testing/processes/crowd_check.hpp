#pragma once

#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "processes/untrusted_crowd.hpp"

namespace teaseldrift::testing {

/// Limits of the process in its settings, and of its descriptors also by the kernel.
constexpr size_t crowdMemoryMb = 100;
constexpr size_t crowdDescriptors = 400;

/// The scripts of a kind of clients at a place.
using CrowdKind = std::function<std::vector<CrowdScript>(const CrowdPlace &)>;

/// @brief Lets the crowds of a kind act at each place, one after the other, and checks that the
/// process lives, keeps its limits and serves ordinary requests while the crowd is connected.
/// @tparam Fixture has `places()`, `waitFor(condition, timeout)`, `serves()`, `isRunning()` and
/// `process()`
template <typename Fixture>
void checkCrowds(const CrowdKind &kind)
{
    constexpr size_t mebibyte = size_t{1} << 20U;
    constexpr Duration longestSettling = 30s;
    Fixture fixture;
    for (const CrowdPlace &place : fixture.places()) {
        for (const CrowdScript &script : kind(place)) {
            resetPeak(fixture.process());
            const Crowd crowd(place.endpoint, script);
            fixture.waitFor([&crowd] { return crowd.isSettled(); }, longestSettling);
            const bool isServed = fixture.serves();
            const ProcessUse use = processUse(fixture.process());
            INFO(place.name << ", " << script.name << ": " << use.peakBytes / mebibyte << " MiB, "
                            << use.descriptors << " descriptors, " << crowd.connected()
                            << " clients connected, " << crowd.sentBytes() << " bytes sent");
            CHECK(fixture.isRunning());
            CHECK(isServed);
            CHECK(use.peakBytes < crowdMemoryMb * mebibyte);
            CHECK(use.descriptors < crowdDescriptors);
        }
    }
}

/// @brief The same for clients that leave: the process closes their connections.
template <typename Fixture>
void checkLeavingClients(Fixture &fixture, const std::string &ready)
{
    constexpr Duration patience = 10s;
    // Of connections to targets and of the ordinary request.
    constexpr size_t slack = 20;
    const CrowdPlace place = fixture.places().front();
    REQUIRE(fixture.serves());
    const size_t before = processUse(fixture.process()).descriptors;
    for (const CrowdScript &script : leavingClients(place, ready)) {
        {
            const Crowd crowd(place.endpoint, script);
            fixture.waitFor([&crowd] { return crowd.isSettled() && crowd.connected() == 0; },
                            patience);
        }
        fixture.waitFor([&] { return processUse(fixture.process()).descriptors <= before + slack; },
                        patience);
        INFO(script.name << ": " << before << " descriptors before, "
                         << processUse(fixture.process()).descriptors << " after");
        CHECK(fixture.isRunning());
        CHECK(fixture.serves());
        CHECK(processUse(fixture.process()).descriptors <= before + slack);
    }
}

} // namespace teaseldrift::testing
