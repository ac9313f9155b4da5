#include "teaseldrift/http/connection_choice.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift::http {

namespace {

using enum ConnectionState;

constexpr size_t mebibyte = 1U << 20U;
constexpr Instant now{100s};

/// Connections of one state and size; numbers and times of the state ascend.
void append(std::vector<ConnectionLoad> &loads, size_t count, ConnectionLoad load)
{
    for (size_t i = 0; i < count; ++i) {
        load.number = loads.size() + 1;
        load.since = Instant(std::chrono::milliseconds(loads.size()));
        loads.push_back(load);
    }
}

size_t bytesLeft(const std::vector<ConnectionLoad> &loads, const std::vector<size_t> &chosen)
{
    size_t bytes = 0;
    for (const ConnectionLoad &load : loads) {
        bytes += load.bytes;
    }
    for (const size_t position : chosen) {
        bytes -= loads[position].bytes;
    }
    return bytes;
}

} // namespace

// Load: 100 uploads of 4 MiB that stop before their end, beside 20 ordinary ones of 20 KiB.
TEST_CASE("large incomplete uploads are closed and ordinary ones are not")
{
    std::vector<ConnectionLoad> loads;
    append(loads, 100, {.state = Incomplete, .bytes = 4 * mebibyte - 1});
    append(loads, 20, {.state = Incomplete, .bytes = 20U << 10U});
    const std::vector<size_t> chosen = chooseOverBudget(loads, 26 * mebibyte);
    CHECK(bytesLeft(loads, chosen) <= 26 * mebibyte);
    CHECK(chosen.size() == 94);
    for (const size_t position : chosen) {
        CHECK(loads[position].bytes > mebibyte);
    }
    // Of equal ones the newest go, so that the older ones can be completed.
    CHECK(chosen.front() == 99);
    CHECK(chosen.back() == 6);
}

// Load: ordinary traffic within the budget.
TEST_CASE("nothing is closed within the budget")
{
    std::vector<ConnectionLoad> loads;
    CHECK(chooseOverBudget(loads, 0).empty());
    append(loads, 300, {.state = Incomplete, .bytes = 4096});
    append(loads, 300, {.state = Handled});
    CHECK(chooseOverBudget(loads, size_t{300} * 4096).empty());
    CHECK(chooseDisplaced(loads, {.connections = 600}).empty());
}

// Load: 2,340 connections, most of them of slow clients, and 16 new ones.
TEST_CASE("new connections displace unused ones, then idle ones, then incomplete requests")
{
    std::vector<ConnectionLoad> loads;
    append(loads, 100, {.state = Handled});
    append(loads, 10, {.state = Writing});
    append(loads, 2214, {.state = Incomplete});
    append(loads, 8, {.state = Idle});
    append(loads, 8, {.state = New});
    append(loads, 16, {.state = New});
    for (size_t i = 2340; i < loads.size(); ++i) {
        loads[i].since = now;
    }
    const std::vector<size_t> chosen = chooseDisplaced(loads, {.connections = 2336, .now = now});
    REQUIRE(chosen.size() == 20);
    CHECK(chosen[0] == 2332);
    CHECK(loads[chosen[7]].state == New);
    CHECK(loads[chosen[8]].state == Idle);
    CHECK(loads[chosen[15]].state == Idle);
    CHECK(loads[chosen[16]].state == Incomplete);
    // The oldest incomplete request.
    CHECK(chosen[16] == 110);
}

// Load: a flood of slow clients takes all connections while ordinary ones are accepted. A
// connection that was displaced before its request could be read answered no ordinary caller.
TEST_CASE("connections that have just been accepted are displaced last")
{
    std::vector<ConnectionLoad> loads;
    append(loads, 100, {.state = Incomplete});
    append(loads, 16, {.state = New});
    for (size_t i = 100; i < loads.size(); ++i) {
        loads[i].since = now;
    }
    for (const size_t position : chooseDisplaced(loads, {.connections = 100, .now = now})) {
        CHECK(loads[position].state == Incomplete);
    }
    CHECK(chooseDisplaced(loads, {.connections = 10, .now = now}).size() == 106);
}

// Load: handlers have the requests of all connections.
TEST_CASE("connections whose request a handler has are not displaced")
{
    std::vector<ConnectionLoad> loads;
    append(loads, 200, {.state = Handled});
    append(loads, 1, {.state = New});
    CHECK(chooseDisplaced(loads, {.connections = 100}) == std::vector<size_t>{200});
}

// Load: one address opens 1,000 connections beside 200 idle ones of 20 ordinary callers.
TEST_CASE("an address with more than its share loses connections first")
{
    std::vector<ConnectionLoad> loads;
    for (uint32_t address = 1; address <= 20; ++address) {
        append(loads, 10, {.state = Idle, .address = address});
    }
    append(loads, 1000, {.state = Incomplete, .address = 99});
    const std::vector<size_t> chosen
            = chooseDisplaced(loads, {.connections = 1000, .addressShare = 0.5});
    REQUIRE(chosen.size() == 200);
    for (const size_t position : chosen) {
        CHECK(loads[position].address == 99);
    }
}

} // namespace teaseldrift::http
