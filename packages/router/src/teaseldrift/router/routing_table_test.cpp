#include "teaseldrift/router/routing_table.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift::router {

namespace {

schema::Configuration sample()
{
    schema::Configuration configuration;
    configuration.mutable_fleet()->add_models()->set_name("m");
    for (const char *prefix : {"/bills", "/bills/weekly", "/maps/"}) {
        configuration.mutable_fleet()->add_routes()->set_path_prefix(prefix);
    }
    schema::Target *engine = configuration.add_targets();
    engine->set_id("e1");
    engine->add_models("m");
    schema::Target *service = configuration.add_targets();
    service->set_id("s1");
    service->set_kind(schema::PLAIN_SERVICE);
    service->set_service("bills");
    return configuration;
}

} // namespace

TEST_CASE("the longest matching route prefix is selected, by whole path segments")
{
    const RoutingTable table(sample(), 7);
    REQUIRE(table.findRoute("/bills/weekly/3") != nullptr);
    CHECK(table.findRoute("/bills/weekly/3")->path_prefix() == "/bills/weekly");
    CHECK(table.findRoute("/bills/w")->path_prefix() == "/bills");
    CHECK(table.findRoute("/billsx") == nullptr);
    CHECK(table.findRoute("/maps/1")->path_prefix() == "/maps/");
    CHECK(table.revision() == 7);
}

TEST_CASE("targets are found by model and by service")
{
    const RoutingTable table(sample(), 1);
    REQUIRE(table.enginesOf("m").size() == 1);
    CHECK(table.enginesOf("m").front()->id() == "e1");
    CHECK(table.targetsOf("bills").front()->id() == "s1");
    CHECK(table.enginesOf("bills").empty());
    CHECK(table.findModel("m") != nullptr);
    CHECK(table.findModel("x") == nullptr);
    CHECK(table.findOrganisation("x") == nullptr);
}

} // namespace teaseldrift::router
