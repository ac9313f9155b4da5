#include "teaseldrift/configuration/replica.hpp"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift {

namespace {

schema::VersionedDocument versioned(const std::string &name, uint64_t revision, bool exists)
{
    schema::VersionedDocument document;
    document.set_name(name);
    document.set_revision(revision);
    if (exists) {
        document.mutable_document()->mutable_organisation()->set_name(name);
    }
    return document;
}

using Contents = std::map<std::string, uint64_t>;

Contents contentsOf(const ConfigurationReplica &replica)
{
    Contents contents;
    for (const schema::VersionedDocument &document : replica.documents()) {
        if (document.has_document()) {
            contents[document.name()] = document.revision();
        }
    }
    return contents;
}

} // namespace

TEST_CASE("an older document replaces neither a newer one nor a tombstone")
{
    ConfigurationReplica replica;
    replica.apply({.documents = {versioned("a", 5, true)}, .revision = 5}, 0);
    replica.apply({.documents = {versioned("a", 7, false)}, .revision = 7}, 5);
    CHECK_FALSE(replica.apply({.documents = {versioned("a", 5, true)}, .revision = 5}, 0));
    CHECK(replica.liveCount() == 0);
    CHECK(replica.revision() == 7);
    replica.apply({.documents = {versioned("a", 9, true)}, .revision = 9}, 7);
    CHECK(replica.liveCount() == 1);
}

TEST_CASE("a delta that starts above the replica's revision does not advance it")
{
    ConfigurationReplica replica;
    replica.apply({.documents = {versioned("a", 9, true)}, .revision = 9}, 5);
    CHECK(replica.revision() == 0);
    CHECK(replica.newestRevision() == 9);
}

TEST_CASE("a replica is current within the bound after its last confirmation, and older ones are "
          "ignored")
{
    ConfigurationReplica replica;
    CHECK_FALSE(replica.isCurrent(Instant(5s), 3s));
    replica.confirm(Instant(10s) - 1s);
    CHECK(replica.isCurrent(Instant(12s), 3s));
    CHECK_FALSE(replica.isCurrent(Instant(12s) + 1us, 3s));
    replica.confirm(Instant(5s));
    CHECK(replica.isCurrent(Instant(12s), 3s));
}

TEST_CASE("replicas converge by deltas, also after tombstones were compacted", "[fuzz]")
{
    REQUIRE(rc::check("replicas converge", [] {
        ConfigurationReplica source({.maxTombstones = 2});
        ConfigurationReplica follower({.maxTombstones = 2});
        Contents expected;
        uint64_t revision = 0;
        const std::vector<int> steps
                = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        for (const int step : steps) {
            constexpr int names = 8;
            if (step >= names) {
                // Applying a delta must not undo any change.
                follower.apply(source.deltaSince(follower.revision()), follower.revision());
                RC_ASSERT(contentsOf(follower) == expected);
                continue;
            }
            const std::string name(1, static_cast<char>('a' + step));
            const bool exists = !expected.contains(name);
            ++revision;
            if (exists) {
                expected[name] = revision;
            } else {
                expected.erase(name);
            }
            source.apply({.documents = {versioned(name, revision, exists)}, .revision = revision},
                         revision - 1);
            RC_ASSERT(contentsOf(source) == expected);
        }
        follower.apply(source.deltaSince(follower.revision()), follower.revision());
        RC_ASSERT(contentsOf(follower) == expected);
        RC_ASSERT(follower.revision() == revision);
    }));
}

} // namespace teaseldrift
