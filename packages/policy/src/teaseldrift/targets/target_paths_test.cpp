#include "teaseldrift/targets/target_paths.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

const Instant start = Instant() + 1000s;
const std::string address = "10.0.0.1:80";

} // namespace

TEST_CASE("a path counts as cut only once another VM has reached the target")
{
    TargetPaths paths("z1");
    CHECK_FALSE(paths.isCut(address));
    paths.reachedByNone(address, start);
    CHECK_FALSE(paths.isCut(address));
    CHECK_FALSE(paths.mayBeReachedByOthers(address, start + 499ms));
    CHECK(paths.mayBeReachedByOthers(address, start + 500ms));
    CHECK(paths.reachedByOther(address, "vm", {}, start));
    CHECK_FALSE(paths.reachedByOther(address, "vm", {}, start));
    CHECK(paths.isCut(address));
    CHECK(paths.mayBeReachedByOthers(address, start));
    CHECK(paths.cutCount() == 1);
    CHECK(paths.reached(address, start));
    CHECK_FALSE(paths.reached(address, start));
    CHECK_FALSE(paths.isCut(address));
}

TEST_CASE("paths that are cut are tried again, each within a few intervals, a few at once")
{
    const TargetPathsOptions options;
    TargetPaths paths("z1", options);
    constexpr int targets = 18;
    for (int i = 0; i < targets; ++i) {
        paths.reachedByOther("10.0.0." + std::to_string(i) + ":80", "vm", {}, start);
    }
    std::map<std::string, int> probes;
    for (Instant now = start; now < start + 10s; now += 100ms) {
        const std::vector<std::string> taken = paths.takeProbes(now);
        CHECK(taken.size() <= options.maxProbes);
        CHECK((now >= start + options.probeInterval || taken.empty()));
        for (const std::string &probe : taken) {
            ++probes[probe];
        }
    }
    CHECK(probes.size() == targets);
    for (const std::pair<const std::string, int> &probe : probes) {
        CHECK(probe.second >= 10);
    }
}

TEST_CASE("once one path is whole again, the others are tried at once")
{
    TargetPaths paths("z1");
    paths.reachedByOther("10.0.0.1:80", "vm", {}, start);
    paths.reachedByOther("10.0.0.2:80", "vm", {}, start);
    CHECK(paths.takeProbes(start + 1s).size() == 2);
    CHECK(paths.takeProbes(start + 1100ms).empty());
    paths.reached("10.0.0.1:80", start + 1100ms);
    CHECK(paths.takeProbes(start + 1100ms) == std::vector<std::string>{"10.0.0.2:80"});
}

TEST_CASE("requests are sent through VMs on the way, and not through zones without a path")
{
    const std::array<ForwardingVm, 5> vms{{{.id = "a1", .availabilityZone = "z1"},
                                           {.id = "a2", .availabilityZone = "z1"},
                                           {.id = "b1", .availabilityZone = "z2"},
                                           {.id = "c1", .availabilityZone = "z3"},
                                           {.id = "c2", .availabilityZone = "z3"}}};
    TargetPaths paths("z1");
    CHECK_FALSE(paths.chooseVm(address, "z3", {}, {}, start));
    const size_t first = paths.chooseVm(address, "z3", vms, {}, start).value();
    CHECK(vms.at(first).availabilityZone != "z2");
    const std::vector<std::string> tried{"z1"};
    const size_t second = paths.chooseVm(address, "z3", vms, tried, start).value();
    CHECK(vms.at(second).availabilityZone == "z3");
    // The whole zone is cut off.
    paths.reachedByOther(address, "c1", tried, start);
    for (int i = 0; i < 50; ++i) {
        const std::string other = "10.0.1." + std::to_string(i) + ":80";
        const size_t vm = paths.chooseVm(other, "z1", vms, {}, start + 1s).value();
        CHECK(vms.at(vm).availabilityZone != "z1");
    }
    const size_t later = paths.chooseVm("10.0.1.1:80", "z1", vms, {}, start + 2s).value();
    CHECK(vms.at(later).availabilityZone == "z1");
}

TEST_CASE("the VM that reached a target last is preferred while it is there")
{
    const std::array<ForwardingVm, 3> vms{{{.id = "a1", .availabilityZone = "z1"},
                                           {.id = "b1", .availabilityZone = "z2"},
                                           {.id = "c1", .availabilityZone = "z3"}}};
    TargetPaths paths("z1");
    paths.reachedByOther(address, "b1", {}, start);
    CHECK(paths.chooseVm(address, "z3", vms, {}, start) == 1U);
    CHECK(paths.chooseVm("10.0.0.9:80", "z3", vms, {}, start) != 1U);
    CHECK(paths.chooseVm(address, "z3", std::span(vms).first(1), {}, start) == 0U);
    paths.reachedByOther(address, "a1", {}, start);
    CHECK(paths.chooseVm(address, "z3", vms, {}, start) == 0U);
}

TEST_CASE("the load of cut paths is spread over all VMs that may help")
{
    std::vector<std::string> ids;
    for (int i = 0; i < 30; ++i) {
        ids.push_back("vm-" + std::to_string(i));
    }
    std::vector<ForwardingVm> vms;
    for (const std::string &id : ids) {
        vms.push_back({.id = id, .availabilityZone = "z1"});
    }
    const TargetPaths paths("z1");
    std::vector<int> chosen(vms.size());
    for (int i = 0; i < 3000; ++i) {
        const std::string target = "10.0.0.1:" + std::to_string(i);
        ++chosen[paths.chooseVm(target, "z1", vms, {}, start).value()];
    }
    CHECK(*std::min_element(chosen.begin(), chosen.end()) > 50);
    CHECK(*std::max_element(chosen.begin(), chosen.end()) < 200);
}

// Guards against learning for one target after the other that this VM reaches none.
TEST_CASE("a VM is cut off once several paths have failed and nothing has arrived since")
{
    TargetPaths paths("z");
    const Instant now(100s);
    paths.silent("a", now);
    paths.silent("a", now);
    paths.silent("b", now);
    CHECK_FALSE(paths.isVmCutOff(now));
    paths.reachedByOther("c", "vm", {}, now);
    CHECK(paths.isVmCutOff(now));

    SECTION("until something arrives")
    {
        paths.arrived(now);
        CHECK_FALSE(paths.isVmCutOff(now));
        paths.silent("a", now + 1s);
        CHECK_FALSE(paths.isVmCutOff(now + 1s));
    }

    SECTION("until a path is whole again")
    {
        paths.reached("c", now);
        CHECK_FALSE(paths.isVmCutOff(now));
    }

    SECTION("until that is long ago")
    {
        CHECK_FALSE(paths.isVmCutOff(now + 3500ms));
    }
}

// Guards against taking a VM for cut off while targets under load answer some requests late.
TEST_CASE("a VM is not cut off while something arrives from any target")
{
    TargetPaths paths("z");
    const Instant now(100s);
    paths.arrived(now);
    for (const char *address : {"a", "b", "c", "d"}) {
        paths.silent(address, now + 200ms);
    }
    CHECK_FALSE(paths.isVmCutOff(now + 200ms));
    CHECK(paths.isVmCutOff(now + 300ms));
}

} // namespace teaseldrift
