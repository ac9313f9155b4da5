#include "teaseldrift/targets/target_directory.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

TargetEntry engine(const std::string &id)
{
    return {.id = id, .service = "writer", .address = "10.0.0.1:80", .startedAtMs = 1};
}

const Instant start(100s);

} // namespace

TEST_CASE("a leaving target is not listed for its service")
{
    TargetDirectory directory;
    directory.put(engine("a"));
    TargetEntry leaving = engine("b");
    directory.put(leaving);
    CHECK(directory.ofService("writer").size() == 2);
    leaving.isLeaving = true;
    CHECK(directory.put(leaving) == TargetChange::Changed);
    REQUIRE(directory.ofService("writer").size() == 1);
    CHECK(directory.ofService("writer").front()->id == "a");
}

TEST_CASE("a registration that ends while the store is available removes its target at once")
{
    TargetDirectory directory;
    directory.put(engine("a"));
    CHECK(directory.remove("a", start) == TargetChange::Removed);
    CHECK(directory.ofService("writer").empty());
}

TEST_CASE("a target whose registration ended during a store outage is kept for the grace period")
{
    TargetDirectory directory;
    directory.put(engine("back"));
    directory.put(engine("gone"));
    directory.storeLost(start);
    CHECK(directory.remove("back", start + 1s) == TargetChange::Lapsed);
    CHECK(directory.remove("gone", start + 1s) == TargetChange::Lapsed);
    CHECK(directory.ofService("writer").size() == 2);
    CHECK(directory.expire(start + 60s).empty());

    directory.storeRegained(start + 60s);
    directory.put(engine("back"));
    CHECK(directory.expire(start + 61s).empty());
    CHECK(directory.expire(start + 63s) == std::vector<std::string>{"gone"});
    REQUIRE(directory.ofService("writer").size() == 1);
    CHECK(directory.ofService("writer").front()->id == "back");
}

TEST_CASE("a leaving target has no grace period, even during a store outage")
{
    TargetDirectory directory;
    TargetEntry leaving = engine("a");
    leaving.isLeaving = true;
    directory.put(leaving);
    directory.storeLost(start);
    CHECK(directory.remove("a", start) == TargetChange::Removed);
}

// The store's registration lags behind the target's responses.
TEST_CASE("a target that stated in a response that it is leaving is not listed again")
{
    TargetDirectory directory;
    directory.put(engine("a"));
    directory.put(engine("b"));
    CHECK(directory.markLeaving("a", 1) == TargetChange::Changed);
    CHECK(directory.markLeaving("a", 1) == TargetChange::None);
    CHECK(directory.find("a")->isLeaving);
    REQUIRE(directory.ofService("writer").size() == 1);
    CHECK(directory.put(engine("a")) == TargetChange::None);
    CHECK(directory.ofService("writer").size() == 1);
}

// A store that returns from an older copy holds the registration from before the shutdown.
TEST_CASE("a registration of a leaving incarnation does not make it available again")
{
    TargetDirectory directory;
    TargetEntry leaving = engine("a");
    leaving.isLeaving = true;
    directory.put(leaving);
    CHECK(directory.put(engine("a")) == TargetChange::None);
    CHECK(directory.ofService("writer").empty());

    CHECK(directory.remove("a", start) == TargetChange::Removed);
    CHECK(directory.put(engine("a")) == TargetChange::Added);
    CHECK(directory.find("a")->isLeaving);
    CHECK(directory.ofService("writer").empty());
}

TEST_CASE("a new incarnation is not bound by what the one before stated")
{
    TargetDirectory directory;
    directory.put(engine("a"));
    directory.markLeaving("a", 1);
    TargetEntry again = engine("a");
    again.startedAtMs = 2;
    CHECK(directory.put(again) == TargetChange::Restarted);
    CHECK(directory.ofService("writer").size() == 1);
    // A late response of the incarnation before.
    CHECK(directory.markLeaving("a", 1) == TargetChange::None);
    CHECK(directory.ofService("writer").size() == 1);
}

TEST_CASE("a statement of a target whose registration has ended is remembered")
{
    TargetDirectory directory;
    CHECK(directory.markLeaving("a", 1) == TargetChange::None);
    directory.put(engine("a"));
    CHECK(directory.ofService("writer").empty());
}

TEST_CASE("the number of remembered leaving incarnations is bounded")
{
    TargetDirectory directory({.maxLeavingIncarnations = 2});
    for (const char *id : {"a", "b", "c"}) {
        directory.markLeaving(id, 1);
    }
    for (const char *id : {"a", "b", "c"}) {
        directory.put(engine(id));
    }
    REQUIRE(directory.ofService("writer").size() == 1);
    CHECK(directory.ofService("writer").front()->id == "a");
}

TEST_CASE("a new incarnation under a known id is reported as a restart")
{
    TargetDirectory directory;
    CHECK(directory.put(engine("a")) == TargetChange::Added);
    CHECK(directory.put(engine("a")) == TargetChange::None);
    TargetEntry again = engine("a");
    again.startedAtMs = 2;
    CHECK(directory.put(again) == TargetChange::Restarted);
}

TEST_CASE("a complete read of the store shows which targets are missing")
{
    TargetDirectory directory;
    directory.put(engine("a"));
    directory.put(engine("b"));
    CHECK(directory.missingFrom({{"b", engine("b")}}) == std::vector<std::string>{"a"});
}

// A store that returned from an older copy still lists what has changed or ended since.
TEST_CASE("an outdated registration does not undo a newer one of the same incarnation")
{
    TargetDirectory directory;
    TargetEntry entry = engine("a");
    entry.heartbeats = 5;
    entry.isLeaving = true;
    directory.put(entry);
    entry.heartbeats = 4;
    entry.isLeaving = false;
    CHECK(directory.put(entry) == TargetChange::None);
    CHECK(directory.find("a")->isLeaving);

    entry.startedAtMs = 2;
    entry.heartbeats = 1;
    CHECK(directory.put(entry) == TargetChange::Restarted);
    CHECK_FALSE(directory.find("a")->isLeaving);
}

TEST_CASE("a removed target returns with a newer registration only")
{
    TargetDirectory directory;
    TargetEntry entry = engine("a");
    entry.heartbeats = 5;
    directory.put(entry);
    CHECK(directory.remove("a", start) == TargetChange::Removed);
    CHECK(directory.put(entry) == TargetChange::None);
    CHECK(directory.find("a") == nullptr);
    entry.heartbeats = 6;
    CHECK(directory.put(entry) == TargetChange::Added);
}

// Guards against targets that are listed again because a store returns from an older copy, or a
// read is older than what is known (DRAIN).
TEST_CASE("a target that left long ago does not return with its old registration")
{
    TargetDirectory directory;
    TargetEntry entry = engine("a");
    entry.heartbeats = 5;
    directory.put(entry);
    directory.remove("a", start);
    directory.put(engine("b"));
    directory.remove("b", start + 600s);
    entry.heartbeats = 4;
    CHECK(directory.put(entry) == TargetChange::None);
    CHECK(directory.find("a") == nullptr);
}

TEST_CASE("an incarnation that was replaced does not return with its old registration")
{
    TargetDirectory directory;
    TargetEntry old = engine("a");
    old.heartbeats = 5;
    TargetEntry current = old;
    current.startedAtMs = old.startedAtMs + 1;
    current.heartbeats = 1;
    directory.put(old);
    REQUIRE(directory.put(current) == TargetChange::Restarted);
    CHECK(directory.put(old) == TargetChange::None);
    CHECK(directory.find("a")->startedAtMs == current.startedAtMs);
    directory.remove("a", start);
    CHECK(directory.put(old) == TargetChange::None);
    CHECK(directory.put(current) == TargetChange::None);
    old.heartbeats = 6;
    CHECK(directory.put(old) == TargetChange::Added);
}

TEST_CASE("targets missing from a restored store are kept until they have had time to return")
{
    TargetDirectory directory;
    directory.put(engine("back"));
    directory.put(engine("gone"));
    directory.storeRestored(start);
    for (const std::string &id : directory.missingFrom({})) {
        CHECK(directory.remove(id, start) == TargetChange::Lapsed);
    }
    directory.put(engine("back"));
    CHECK(directory.expire(start + 2s).empty());
    CHECK(directory.expire(start + 2300ms) == std::vector<std::string>{"gone"});
}

} // namespace teaseldrift
