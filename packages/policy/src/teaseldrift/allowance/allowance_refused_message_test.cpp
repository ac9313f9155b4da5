#include <catch2/catch.hpp>

#include "fleet_simulation_test.hpp"

namespace teaseldrift::allowance {

using simulation::FleetSimulation;

namespace {

schema::AllowanceMessage giveOf(const DivisionState &giver, const std::string &receiver)
{
    schema::AllowanceMessage message;
    for (const MemberAccount &member : giver.accounts) {
        if (member.vm == receiver) {
            message.mutable_give()->set_given_units(member.account.givenUnits);
            message.mutable_give()->set_given_tokens(member.account.givenTokens);
            message.mutable_give()->set_applied_units(member.account.appliedUnits);
            message.mutable_give()->set_applied_tokens(member.account.appliedTokens);
        }
    }
    message.mutable_give()->set_epoch(giver.record.epoch());
    return message;
}

/// A fleet of three VMs that has come to rest with the whole burst.
FleetSimulation settledFleet()
{
    FleetSimulation fleet(3, false);
    fleet.run(10s);
    return fleet;
}

/// Whether the message is refused and counted, and changes neither shares nor levels.
bool isRefused(FleetSimulation &fleet, const std::string &from, const std::string &to,
               const schema::AllowanceMessage &message)
{
    const int64_t shares = fleet.shares();
    const MicroTokens levels = fleet.levels();
    const uint64_t refused = fleet.refusedMessages(to);
    fleet.inject(from, to, message);
    const bool isUnchanged = fleet.shares() == shares && fleet.levels() == levels;
    return isUnchanged && fleet.refusedMessages(to) == refused + 1 && fleet.violation().empty();
}

} // namespace

TEST_CASE("allowance: a message that gives more than its sender can hold is refused")
{
    FleetSimulation fleet = settledFleet();
    schema::AllowanceMessage message = giveOf(fleet.state("vm-0"), "vm-1");
    message.mutable_give()->set_given_units(wholeShare / 2);
    CHECK(isRefused(fleet, "vm-0", "vm-1", message));
    message.mutable_give()->set_given_units(uint64_t{1} << 40U);
    CHECK(isRefused(fleet, "vm-0", "vm-1", message));
}

TEST_CASE("allowance: a message that returns more than was lent is refused")
{
    FleetSimulation fleet = settledFleet();
    fleet.admit(1, fleet.limits.burst / 2);
    fleet.run(10ms);
    schema::AllowanceMessage message = giveOf(fleet.state("vm-1"), "vm-0");
    const uint64_t lent = message.give().applied_units();
    REQUIRE(lent > 0);
    message.mutable_give()->set_given_units(lent + wholeShare / 2);
    CHECK(isRefused(fleet, "vm-1", "vm-0", message));
    message = giveOf(fleet.state("vm-1"), "vm-0");
    message.mutable_give()->set_applied_units(lent + 1);
    CHECK(isRefused(fleet, "vm-1", "vm-0", message));
}

TEST_CASE("allowance: a repeated return of share changes nothing")
{
    FleetSimulation fleet = settledFleet();
    fleet.admit(1, fleet.limits.burst / 2);
    fleet.run(10ms);
    const schema::AllowanceMessage message = giveOf(fleet.state("vm-0"), "vm-1");
    REQUIRE(message.give().given_units() > 0);
    const int64_t shares = fleet.shares();
    const MicroTokens levels = fleet.levels();
    fleet.inject("vm-0", "vm-1", message);
    fleet.inject("vm-0", "vm-1", message);
    CHECK(fleet.shares() == shares);
    CHECK(fleet.levels() == levels);
    CHECK(fleet.violation().empty());
}

TEST_CASE("allowance: totals that disagree or are negative are refused")
{
    FleetSimulation fleet = settledFleet();
    fleet.admit(1, fleet.limits.burst / 2);
    fleet.run(10ms);
    schema::AllowanceMessage message = giveOf(fleet.state("vm-0"), "vm-1");
    message.mutable_give()->set_given_units(message.give().given_units() + 1);
    message.mutable_give()->set_given_tokens(-1);
    CHECK(isRefused(fleet, "vm-0", "vm-1", message));
}

TEST_CASE("allowance: a message of an unknown VM, incarnation or organisation is refused")
{
    FleetSimulation fleet = settledFleet();
    const schema::AllowanceMessage message = giveOf(fleet.state("vm-0"), "vm-1");
    CHECK(isRefused(fleet, "vm-77", "vm-1", message));
    schema::AllowanceMessage other = message;
    other.set_sender_incarnation(1);
    CHECK(isRefused(fleet, "vm-0", "vm-1", other));
    other = message;
    other.set_organisation("shop-eleven");
    CHECK(isRefused(fleet, "vm-0", "vm-1", other));
}

TEST_CASE("allowance: a consent that claims more than a gone VM's base share is refused")
{
    FleetSimulation fleet = settledFleet();
    schema::AllowanceMessage message;
    message.mutable_fence_ack()->set_nonce(7);
    schema::HeldShare &held = *message.mutable_fence_ack()->add_held();
    held.set_vm_id("vm-2");
    held.set_units(wholeShare);
    CHECK(isRefused(fleet, "vm-77", "vm-0", message));
    // vm-2 leaves; vm-0 and vm-1 are asked for consent, and vm-1's answer claims too much.
    fleet.replaceElsewhere(2);
    fleet.claimInFenceAcks(wholeShare);
    for (size_t round = 0; round < 6; ++round) {
        for (size_t vm = 0; vm < 3; ++vm) {
            fleet.refreshList(vm, 0);
        }
        fleet.run(1s);
        CHECK(fleet.violation().empty());
    }
    CHECK(fleet.refusedMessages("vm-0") + fleet.refusedMessages("vm-1") > 0);
}

TEST_CASE("allowance: a refund above the cost of its request is refused")
{
    FleetSimulation fleet(5, false);
    fleet.run(10s);
    for (size_t vm = 0; vm < 5; ++vm) {
        const std::string from = "vm-" + std::to_string(vm);
        if (fleet.state(from).isActive) {
            continue;
        }
        fleet.admit(vm, 1200 * microTokensPerToken);
        fleet.run(10ms);
        const Ticket ticket = fleet.lastTicket();
        REQUIRE_FALSE(ticket.vm.empty());
        schema::AllowanceMessage message;
        message.mutable_give_back()->set_request_id(ticket.requestId);
        for (const MicroTokens unused : {ticket.cost + 1, MicroTokens{-1}}) {
            message.mutable_give_back()->set_unused(unused);
            CHECK(isRefused(fleet, from, ticket.vm, message));
        }
        const MicroTokens levels = fleet.levels();
        fleet.refund(0, ticket.cost);
        fleet.run(10ms);
        CHECK(fleet.levels() > levels);
        message.mutable_give_back()->set_unused(ticket.cost);
        CHECK(isRefused(fleet, from, ticket.vm, message));
    }
}

} // namespace teaseldrift::allowance
