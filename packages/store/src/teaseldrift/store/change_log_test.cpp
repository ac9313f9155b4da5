#include "teaseldrift/store/change_log.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift::store {

namespace {

const Instant start(100s);

StoreEntry put(const std::string &key, const std::string &value, uint64_t revision)
{
    return {.key = key, .value = value, .revision = revision};
}

StoreEntry removed(const std::string &key, uint64_t revision)
{
    return {.key = key, .revision = revision, .deleted = true};
}

StoreSnapshot changesOf(std::vector<StoreEntry> entries, uint64_t revision)
{
    return {.entries = std::move(entries), .revision = revision};
}

std::vector<uint64_t> revisionsOf(const std::optional<StoreSnapshot> &snapshot)
{
    REQUIRE(snapshot);
    std::vector<uint64_t> revisions;
    for (const StoreEntry &entry : snapshot->entries) {
        revisions.push_back(entry.revision);
    }
    return revisions;
}

using Revisions = std::vector<uint64_t>;

} // namespace

TEST_CASE("changes after a revision are returned in order with the latest known revision")
{
    ChangeLog log;
    log.append(10, changesOf({put("a", "1", 11), put("b", "1", 12)}, 15), start);
    log.append(15, changesOf({removed("a", 17)}, 17), start + 1s);
    CHECK(revisionsOf(log.changesSince(10)) == Revisions{11, 12, 17});
    CHECK(revisionsOf(log.changesSince(12)) == Revisions{17});
    CHECK(log.changesSince(12)->revision == 17);
    CHECK(log.changesSince(15)->entries.front().deleted);
    CHECK(log.confirmedAt() == start + 1s);
}

TEST_CASE("changes before the first poll or in a gap between polls are not known")
{
    ChangeLog log;
    log.append(10, changesOf({put("a", "1", 11)}, 11), start);
    CHECK_FALSE(log.changesSince(9));
    // Changes 12 to 20 were never requested.
    log.append(20, changesOf({put("a", "2", 21)}, 21), start);
    CHECK_FALSE(log.changesSince(11));
    CHECK(revisionsOf(log.changesSince(20)) == Revisions{21});
}

TEST_CASE("a write of the same value is skipped unless the key was deleted in between")
{
    ChangeLog log;
    log.append(10, changesOf({put("a", "1", 11), put("a", "1", 12)}, 12), start);
    CHECK(revisionsOf(log.changesSince(10)) == Revisions{11});
    CHECK(log.changesSince(11)->revision == 12);
    log.append(12, changesOf({removed("a", 13), put("a", "1", 14)}, 14), start);
    CHECK(revisionsOf(log.changesSince(11)) == Revisions{13, 14});
    log.append(14, changesOf({put("a", "2", 15)}, 15), start);
    CHECK(revisionsOf(log.changesSince(14)) == Revisions{15});
}

TEST_CASE("a reader ahead of the log gets no older changes")
{
    ChangeLog log;
    log.append(10, changesOf({put("a", "1", 11)}, 11), start);
    const std::optional<StoreSnapshot> missed = log.changesSince(30);
    REQUIRE(missed);
    CHECK(missed->entries.empty());
    CHECK(missed->revision == 30);
}

TEST_CASE("a large value is not kept")
{
    ChangeLog log({.maxValueBytes = 8});
    log.append(10, changesOf({put("a", "1", 11), put("b", "123456789", 12)}, 12), start);
    CHECK_FALSE(log.changesSince(10));
    CHECK_FALSE(log.changesSince(11));
    CHECK(revisionsOf(log.changesSince(12)).empty());
}

TEST_CASE("the oldest changes are evicted, and a reader that needs them gets none")
{
    ChangeLog log({.maxChanges = 2});
    log.append(10, changesOf({put("a", "1", 11), put("b", "1", 12), put("c", "1", 13)}, 13), start);
    CHECK_FALSE(log.changesSince(10));
    CHECK(revisionsOf(log.changesSince(11)) == Revisions{12, 13});
}

TEST_CASE("the log is not confirmed from a failure of the store until its next response")
{
    ChangeLog log;
    log.append(10, changesOf({}, 10), start);
    log.markStoreUnavailable(start + 1s);
    CHECK(log.confirmedAt() == Instant());
    log.append(10, changesOf({}, 10), start + 5s);
    CHECK(log.confirmedAt() == start + 5s);
}

TEST_CASE("responses to calls that overlap leave the log in order and complete")
{
    ChangeLog log;
    log.append(10, changesOf({put("a", "1", 11), put("b", "1", 12)}, 12), start);
    // Sent before the response above, read after it.
    log.append(10, changesOf({put("a", "1", 11)}, 11), start + 1s);
    CHECK(log.revision() == 12);
    CHECK(log.confirmedAt() == start);
    log.append(10, changesOf({put("a", "1", 11), put("b", "1", 12), put("c", "1", 13)}, 13),
               start + 2s);
    CHECK(revisionsOf(log.changesSince(10)) == Revisions{11, 12, 13});
    CHECK(revisionsOf(log.changesSince(12)) == Revisions{13});
    CHECK(log.confirmedAt() == start + 2s);
    log.markStoreUnavailable(start + 1s);
    CHECK(log.confirmedAt() == start + 2s);
}

TEST_CASE("changes of a new epoch replace those of the old one, also at a known revision")
{
    ChangeLog log;
    log.append(5,
               {.entries = {{.key = "a", .value = "1", .revision = 6}}, .revision = 6, .epoch = 1},
               Instant(1s));
    log.append(6,
               {.entries = {{.key = "a", .value = "1", .revision = 7}}, .revision = 7, .epoch = 2},
               Instant(2s));
    CHECK(log.epoch() == 2);
    CHECK_FALSE(log.changesSince(5).has_value());
    const std::optional<StoreSnapshot> changes = log.changesSince(6);
    REQUIRE(changes);
    CHECK(changes->epoch == 2);
    CHECK(changes->entries.size() == 1);
}

} // namespace teaseldrift::store
