#include "teaseldrift/homes/home_set.hpp"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "teaseldrift/homes/entry_response.hpp"

namespace teaseldrift::homes {

namespace {

std::vector<VmView> fleet(size_t vms, size_t zones)
{
    std::vector<VmView> list;
    for (size_t i = 0; i < vms; ++i) {
        list.push_back({.id = "vm-" + std::to_string(i),
                        .availabilityZone = "zone-" + std::to_string(i % zones)});
    }
    return list;
}

std::string organisationName(size_t number)
{
    return "organisation-" + std::to_string(number);
}

} // namespace

TEST_CASE("homes: a home set spreads over the zones")
{
    const std::vector<VmView> vms = fleet(7, 3);
    for (size_t number = 0; number < 200; ++number) {
        std::set<std::string> zones;
        const std::vector<size_t> homes = homeSet(organisationName(number), vms);
        for (const size_t home : homes) {
            zones.insert(vms[home].availabilityZone);
        }
        REQUIRE(homes.size() == 3);
        REQUIRE(zones.size() == 3);
    }
    CHECK(homeSet("a", fleet(5, 2)).size() == 2);
    CHECK(homeSet("a", fleet(1, 1)).size() == 1);
    CHECK(homeSet("a", {}).empty());
    CHECK(homeSet("a", fleet(20, 4), {.trafficShare = 0.3}).size() == 6);
}

TEST_CASE("homes: a leaving VM is not a home, and the other homes stay")
{
    std::vector<VmView> vms = fleet(9, 3);
    for (size_t number = 0; number < 100; ++number) {
        const std::string organisation = organisationName(number);
        const std::vector<size_t> before = homeSet(organisation, vms);
        vms[before[1]].leaving = true;
        const std::vector<size_t> after = homeSet(organisation, vms);
        REQUIRE(std::find(after.begin(), after.end(), before[1]) == after.end());
        REQUIRE(std::find(after.begin(), after.end(), before[0]) != after.end());
        REQUIRE(std::find(after.begin(), after.end(), before[2]) != after.end());
        vms[before[1]].leaving = false;
    }
}

TEST_CASE("homes: an entry response lists the homes in the caller's zone first")
{
    const std::vector<VmView> vms = fleet(7, 3);
    const EntryResponse response
            = selectEntryVms({.organisation = "a", .availabilityZone = "zone-2"}, vms);
    REQUIRE(response.vms.size() == 3);
    CHECK(vms[response.vms.front()].availabilityZone == "zone-2");
    CHECK(response.lifetime > 0s);
    const EntryResponse narrowed = selectEntryVms({.organisation = "a", .prefixRoot = 99}, vms);
    CHECK(narrowed.vms.size() == 2);
}

} // namespace teaseldrift::homes
