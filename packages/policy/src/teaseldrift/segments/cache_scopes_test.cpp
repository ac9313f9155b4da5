#include "teaseldrift/segments/cache_scopes.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift {

namespace {

using Organisations = std::vector<Organisation>;

Organisation sharing(std::string name)
{
    return {.name = std::move(name)};
}

Organisation isolated(std::string name)
{
    return {.name = std::move(name), .isIsolated = true};
}

/// Part of KV cache, as an engine keeps it: who had it computed under which salt.
struct CachedPart
{
    std::string salt;
    std::string organisation;
};

/// Whether each organisation that a configuration names is isolated.
using Configuration = std::map<std::string, bool>;

CacheScopes scopesOf(const Configuration &configuration)
{
    Organisations organisations;
    for (const std::pair<const std::string, bool> &organisation : configuration) {
        organisations.push_back({.name = organisation.first, .isIsolated = organisation.second});
    }
    return CacheScopes(organisations);
}

bool isIsolatedIn(const Configuration &configuration, const std::string &organisation)
{
    const auto found = configuration.find(organisation);
    return found != configuration.end() && found->second;
}

} // namespace

// KV cache that was computed for an organisation before it became isolated was used by the others.
TEST_CASE("an organisation that becomes isolated: the others' salt changes")
{
    const CacheScopes before(Organisations{sharing("a"), sharing("b"), sharing("c")});
    const CacheScopes after(Organisations{isolated("a"), sharing("b"), sharing("c")});
    CHECK(before.of("a") == before.of("b"));
    CHECK(before.of("b") == before.of(""));
    CHECK(after.of("b") != before.of("b"));
    CHECK(after.of("") == after.of("b"));
    CHECK(after.of("a") != after.of("b"));
    CHECK(after.of("a") != before.of("a"));
}

// Any order of changes, with VMs that apply a configuration late or start with the newest one.
TEST_CASE("no KV cache is shared with an isolated organisation, whenever it became isolated")
{
    REQUIRE(rc::check("requests find no part of an organisation that is kept apart", [] {
        const std::vector<std::string> names{"a", "b", "c", "d"};
        std::vector<Configuration> history(1);
        std::vector<CachedPart> cache;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const std::string name = *rc::gen::elementOf(names);
            if (*rc::gen::inRange(0, 3) == 0) {
                Configuration next = history.back();
                if (*rc::gen::inRange(0, 4) == 0) {
                    next.erase(name);
                } else {
                    next[name] = *rc::gen::arbitrary<bool>();
                }
                history.push_back(next);
                continue;
            }
            // The VM that sends the request may not have applied the newest configurations yet.
            const size_t age = *rc::gen::inRange<size_t>(0, std::min<size_t>(3, history.size()));
            const Configuration &applied = history[history.size() - 1 - age];
            if (!applied.contains(name)) {
                continue;
            }
            const std::string salt = cacheSalt("m", 1, scopesOf(applied).of(name));
            for (const CachedPart &part : cache) {
                RC_ASSERT(part.salt != salt || part.organisation == name
                          || (!isIsolatedIn(applied, name)
                              && !isIsolatedIn(applied, part.organisation)));
            }
            cache.push_back({.salt = salt, .organisation = name});
        }
    }));
}

// A change that concerns no isolation must not have shared prompts computed again.
TEST_CASE("the salt is the same after any change but that of the organisations that share")
{
    const CacheScopes before(Organisations{sharing("a"), isolated("b"), sharing("c")});
    SECTION("order")
    {
        const CacheScopes after(Organisations{sharing("c"), sharing("a"), isolated("b")});
        CHECK(after.shared() == before.shared());
        CHECK(after.of("b") == before.of("b"));
    }
    SECTION("keys, limits and priorities")
    {
        Organisations changed{sharing("a"), isolated("b"), sharing("c")};
        changed[0].keys = {"k1", "k2"};
        changed[1].unitsPerSecond = 7.0;
        changed[2].priority = 3;
        const CacheScopes after(changed);
        CHECK(after.shared() == before.shared());
        CHECK(after.of("b") == before.of("b"));
    }
    SECTION("an organisation that is isolated from its start")
    {
        const CacheScopes after(
                Organisations{sharing("a"), isolated("b"), sharing("c"), isolated("d")});
        CHECK(after.shared() == before.shared());
        CHECK(after.of("d") != after.of("b"));
    }
    SECTION("an isolated organisation is dropped and comes back")
    {
        const CacheScopes without(Organisations{sharing("a"), sharing("c")});
        CHECK(without.shared() == before.shared());
    }
}

TEST_CASE("an organisation that the configuration does not name shares no KV cache")
{
    const CacheScopes scopes(Organisations{sharing("a")});
    CHECK_FALSE(scopes.isShared("b"));
    CHECK(scopes.of("b") != scopes.of("a"));
    CHECK(CacheScopes(Organisations{isolated("b")}).of("b") == scopes.of("b"));
}

TEST_CASE("organisations that are listed twice are isolated if one entry says so")
{
    CHECK_FALSE(CacheScopes(Organisations{isolated("a"), sharing("a")}).isShared("a"));
    CHECK_FALSE(CacheScopes(Organisations{sharing("a"), isolated("a")}).isShared("a"));
}

TEST_CASE("names that run into one another give different scopes")
{
    const CacheScopes one(Organisations{sharing("a1:b")});
    const CacheScopes two(Organisations{sharing("a"), sharing("b")});
    CHECK(one.shared() != two.shared());
    // An organisation cannot take the name of another scope.
    CHECK(CacheScopes(Organisations{isolated(two.shared()), sharing("a"), sharing("b")})
                  .of(two.shared())
          != two.shared());
}

// VMs of another architecture or of another version of the program must find each other's cache.
TEST_CASE("the salt has a fixed form and bounded length")
{
    CHECK(cacheSalt("m", 3, "") == "m/3");
    Organisations many;
    for (int number = 0; number < 1400; ++number) {
        many.push_back(number % 2 == 0 ? sharing("organisation-" + std::to_string(number))
                                       : isolated("organisation-" + std::to_string(number)));
    }
    const CacheScopes scopes(many);
    CHECK(scopes.of("organisation-0").size() == 39);
    CHECK(scopes.of("organisation-1").size() == 41);
    const CacheScopes pinned(Organisations{sharing("sese"), sharing("kabo"), isolated("wufi")});
    CHECK(cacheSalt("m", 3, pinned.of("kabo")) == "m/3/shared-10b34c5bd71c6337706623450c5375f1");
    CHECK(cacheSalt("m", 3, pinned.of("wufi")) == "m/3/isolated-fe370d06c8247da7405aa4030fe5bfc0");
}

} // namespace teaseldrift
