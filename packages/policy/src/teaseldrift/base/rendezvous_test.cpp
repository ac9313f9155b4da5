#include "teaseldrift/base/rendezvous.hpp"

#include <array>
#include <string>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

std::vector<RendezvousMember> membersOf(std::span<const std::string> names)
{
    std::vector<RendezvousMember> members;
    for (const std::string &name : names) {
        members.push_back({.id = name});
    }
    return members;
}

} // namespace

TEST_CASE("removing a member moves only the keys that it owned")
{
    const std::array<std::string, 5> names{"a", "b", "c", "d", "e"};
    const std::vector<RendezvousMember> all = membersOf(names);
    const std::vector<RendezvousMember> rest(all.begin(), all.end() - 1);
    for (uint64_t key = 0; key < 1000; ++key) {
        const size_t before = rendezvousOrder(key, all, 1).front();
        const size_t after = rendezvousOrder(key, rest, 1).front();
        if (all[before].id != "e") {
            REQUIRE(before == after);
        }
    }
}

TEST_CASE("a member's share of the keys is proportional to its weight")
{
    const std::array<RendezvousMember, 3> members{
            RendezvousMember{.id = "a", .weight = 1.0},
            RendezvousMember{.id = "b", .weight = 3.0},
            RendezvousMember{.id = "c", .weight = 0.0},
    };
    constexpr size_t keys = 20000;
    std::array<size_t, 3> owned{};
    for (uint64_t key = 0; key < keys; ++key) {
        ++owned[rendezvousOrder(key, members, 1).front()];
    }
    CHECK(owned[2] == 0);
    CHECK(static_cast<double>(owned[1]) / keys == Approx(0.75).margin(0.02));
}

TEST_CASE("the order contains each member at most once and at most as many as requested")
{
    const std::array<std::string, 3> names{"a", "b", "c"};
    const std::vector<RendezvousMember> members = membersOf(names);
    CHECK(rendezvousOrder(7, members, 2).size() == 2);
    CHECK(rendezvousOrder(7, members, 9).size() == 3);
    CHECK(rendezvousOrder(7, {}, 2).empty());
}

} // namespace teaseldrift
