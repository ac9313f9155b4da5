#include "teaseldrift/routing/route_table.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift {

namespace {

FleetDefinition twoHosts()
{
    return {.version = 3,
            .routes = {{.name = "all", .host = "books.example", .prefix = "/"},
                       {.name = "rounds", .host = "books.example", .prefix = "/rounds/"},
                       {.name = "holds", .host = "books.example", .prefix = "/rounds/holds/"},
                       {.name = "bills", .host = "Bills.example", .prefix = "/pay/"}},
            .services = {{.name = "writer"}, {.name = "kept", .cacheStoreAddress = "10.0.0.9:80"}},
            .organisations = {{.name = "shop", .keys = {"k1", "k2"}}}};
}

} // namespace

TEST_CASE("the route with the longest matching prefix wins")
{
    const RouteTable table(twoHosts());
    CHECK(table.findRoute("books.example", "/rounds/7")->name == "rounds");
    CHECK(table.findRoute("books.example", "/rounds/holds/7?day=2")->name == "holds");
    CHECK(table.findRoute("books.example", "/other")->name == "all");
    // The query string is not matched.
    CHECK(table.findRoute("books.example", "/x?/rounds/")->name == "all");
}

TEST_CASE("hosts are matched without case and port, and only their own routes apply")
{
    const RouteTable table(twoHosts());
    CHECK(table.findRoute("BOOKS.example:8606", "/rounds/7")->name == "rounds");
    CHECK(table.findRoute("bills.example", "/pay/1")->name == "bills");
    CHECK(table.findRoute("bills.example", "/rounds/7") == nullptr);
    CHECK(table.findRoute("unknown.example", "/rounds/7") == nullptr);
}

TEST_CASE("a key is valid only if the configuration contains it")
{
    const RouteTable table(twoHosts());
    CHECK(table.findOrganisation("k2")->name == "shop");
    CHECK(table.findOrganisation("k3") == nullptr);
    CHECK(table.findOrganisation("") == nullptr);
    CHECK(table.cacheStore()->name == "kept");
}

TEST_CASE("requests are divided between services by weight")
{
    const Route route{.services = {{.service = "a", .weight = 90}, {.service = "b", .weight = 10}}};
    int toB = 0;
    for (uint64_t key = 0; key < 1000; ++key) {
        toB += RouteTable::chooseService(route, key) == "b" ? 1 : 0;
    }
    CHECK(toB == 100);
    CHECK(RouteTable::chooseService({}, 1).empty());
}

} // namespace teaseldrift
