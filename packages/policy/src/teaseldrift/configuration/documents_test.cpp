#include "teaseldrift/configuration/documents.hpp"

#include <map>
#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "teaseldrift/configuration/change_outcome.hpp"

namespace teaseldrift {

namespace {

schema::Configuration withRates(const std::vector<double> &rates)
{
    schema::Configuration configuration;
    for (size_t i = 0; i < rates.size(); ++i) {
        if (rates[i] > 0.0) {
            schema::Organisation &organisation = *configuration.add_organisations();
            organisation.set_name("o" + std::to_string(i));
            organisation.set_rate_tokens_per_s(rates[i]);
        }
    }
    return configuration;
}

/// In-memory store with the guarantee that matters here: the writes of a change are atomic.
struct FakeStore
{
    std::map<std::string, schema::VersionedDocument> current;
    uint64_t revision = 1;

    bool write(std::span<const DocumentChange> changes)
    {
        for (const DocumentChange &change : changes) {
            const auto found = current.find(change.name);
            if ((found == current.end() ? 0 : found->second.revision())
                != change.expectedRevision) {
                return false;
            }
        }
        ++revision;
        for (const DocumentChange &change : changes) {
            if (!change.after.has_value()) {
                current.erase(change.name);
                continue;
            }
            schema::VersionedDocument &document = current[change.name];
            document.set_name(change.name);
            document.set_revision(revision);
            *document.mutable_document() = *change.after;
        }
        return true;
    }

    [[nodiscard]] std::vector<schema::VersionedDocument> read() const
    {
        std::vector<schema::VersionedDocument> documents;
        for (auto it = current.begin(); it != current.end(); ++it) {
            documents.push_back(it->second);
        }
        return documents;
    }
};

rc::Gen<std::vector<double>> anyRates()
{
    return rc::gen::container<std::vector<double>>(3, rc::gen::element(0.0, 1.0, 2.0));
}

} // namespace

TEST_CASE("a plan writes only documents that differ and yields the wanted configuration")
{
    FakeStore store;
    REQUIRE(store.write(planChanges(store.read(), withRates({1, 2}), "first")));
    CHECK(planChanges(store.read(), withRates({1, 2}), "second").empty());
    const std::vector<DocumentChange> changes
            = planChanges(store.read(), withRates({1, 0, 3}), "third");
    REQUIRE(changes.size() == 2);
    const std::string diff = formatDiff(changes);
    CHECK(diff.find("organisation/o1: deleted") != std::string::npos);
    CHECK(diff.find("organisation/o2") != std::string::npos);
    REQUIRE(store.write(changes));
    CHECK(toConfiguration(store.read()).SerializeAsString()
          == withRates({1, 0, 3}).SerializeAsString());
}

TEST_CASE("a diff shows the changed field but not the hash of a key")
{
    schema::Configuration before = withRates({1});
    schema::Configuration after = withRates({2});
    after.mutable_organisations(0)->add_keys()->set_hash("secret hash");
    FakeStore store;
    store.write(planChanges({}, before, "x"));
    const std::string diff = formatDiff(planChanges(store.read(), after, "y"));
    CHECK(diff.find("rate_tokens_per_s: 1 -> 2") != std::string::npos);
    CHECK(diff.find("secret hash") == std::string::npos);
}

TEST_CASE("of two operators who start from the same read, only one can change a document", "[fuzz]")
{
    REQUIRE(rc::check("racing operators with lost answers", [] {
        FakeStore store;
        store.write(planChanges({}, withRates(*anyRates()), "base"));
        const std::vector<schema::VersionedDocument> before = store.read();
        const std::vector<DocumentChange> first
                = planChanges(before, withRates(*anyRates()), "first");
        const std::vector<DocumentChange> second
                = planChanges(before, withRates(*anyRates()), "second");
        RC_PRE(!first.empty() && !second.empty());
        const bool firstArrives = *rc::gen::arbitrary<bool>();
        const bool firstWritten = firstArrives && store.write(first);
        const ChangeResolution unclear = resolveUncertainWrite(first, store.read(), "first");
        RC_ASSERT((unclear.outcome == ChangeOutcome::Committed) == firstWritten);
        const bool secondWritten = store.write(second);
        const bool overlap = std::any_of(first.begin(), first.end(), [&second](const auto &left) {
            return std::any_of(second.begin(), second.end(),
                               [&left](const auto &right) { return right.name == left.name; });
        });
        RC_ASSERT(!(overlap && firstWritten && secondWritten));
        const ChangeResolution other = resolveUncertainWrite(second, store.read(), "second");
        const bool secondPuts = std::any_of(second.begin(), second.end(), [](const auto &change) {
            return change.after.has_value();
        });
        // A change of deletions alone contains no change id, so its writer cannot be determined.
        RC_ASSERT(!secondPuts || (other.outcome == ChangeOutcome::Committed) == secondWritten);
    }));
}

} // namespace teaseldrift
