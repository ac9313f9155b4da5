#include "teaseldrift/configuration/validation.hpp"

#include <algorithm>
#include <functional>

#include <catch2/catch.hpp>

#include "teaseldrift/configuration/settings_lookup.hpp"

namespace teaseldrift {

namespace {

schema::Configuration valid()
{
    schema::Configuration configuration;
    schema::FleetDocument &fleet = *configuration.mutable_fleet();
    fleet.mutable_defaults()->set_max_attempts(3);
    schema::Model &model = *fleet.add_models();
    model.set_name("round-writer");
    model.set_weights_version("1");
    model.set_block_tokens(1000);
    schema::Route &route = *fleet.add_routes();
    route.set_path_prefix("/holds");
    route.set_route_class(schema::NON_IDEMPOTENT);
    route.set_service("round-book");
    schema::SettingException &exception = *fleet.add_exceptions();
    exception.set_organisation("kinloch");
    exception.set_setting("max_attempts");
    exception.set_value("2");
    exception.set_reason("bills are written once");
    schema::Target &engine = *configuration.add_targets();
    engine.set_id("engine-1");
    engine.set_address("10.0.0.1");
    engine.set_port(8000);
    engine.set_availability_zone("perth");
    engine.set_slots(8);
    engine.add_models("round-writer");
    schema::Target &service = *configuration.add_targets();
    service = engine;
    service.set_id("service-1");
    service.set_address("10.0.0.2");
    service.set_kind(schema::PLAIN_SERVICE);
    service.set_service("round-book");
    schema::Organisation &organisation = *configuration.add_organisations();
    organisation.set_name("kinloch");
    organisation.set_rate_tokens_per_s(100);
    organisation.set_burst_tokens(1000);
    return configuration;
}

struct InvalidEdit
{
    const char *path;
    std::function<void(schema::Configuration &)> apply;
};

} // namespace

TEST_CASE("a valid configuration has no errors")
{
    CHECK(validate(valid()).empty());
}

TEST_CASE("each error is reported with the path of its field")
{
    using Configuration = schema::Configuration;
    const std::vector<InvalidEdit> edits{
            {"fleet.exceptions[0].reason",
             [](Configuration &c) { c.mutable_fleet()->mutable_exceptions(0)->set_reason(" "); }},
            {"fleet.exceptions[0].setting",
             [](Configuration &c) { c.mutable_fleet()->mutable_exceptions(0)->set_setting("x"); }},
            {"fleet.exceptions[0].value",
             [](Configuration &c) { c.mutable_fleet()->mutable_exceptions(0)->set_value("99"); }},
            {"fleet.exceptions[0].organisation",
             [](Configuration &c) {
                 c.mutable_fleet()->mutable_exceptions(0)->set_organisation("nobody");
             }},
            {"fleet.exceptions[1]",
             [](Configuration &c) {
                 *c.mutable_fleet()->add_exceptions() = c.fleet().exceptions(0);
             }},
            {"fleet.defaults.max_attempts",
             [](Configuration &c) { c.mutable_fleet()->mutable_defaults()->set_max_attempts(0); }},
            {"fleet.routes[0].service",
             [](Configuration &c) { c.mutable_fleet()->mutable_routes(0)->set_service("none"); }},
            {"fleet.routes[0].path_prefix",
             [](Configuration &c) {
                 c.mutable_fleet()->mutable_routes(0)->set_path_prefix("holds");
             }},
            {"fleet.models[0].block_tokens",
             [](Configuration &c) { c.mutable_fleet()->mutable_models(0)->set_block_tokens(0); }},
            {"targets[0].models", [](Configuration &c) { c.mutable_targets(0)->add_models("x"); }},
            {"targets[0].address",
             [](Configuration &c) { c.mutable_targets(0)->set_address("engine-1.example"); }},
            {"targets[0].port", [](Configuration &c) { c.mutable_targets(0)->set_port(70000); }},
            {"targets[1].id", [](Configuration &c) { c.mutable_targets(1)->set_id("engine-1"); }},
            {"organisations[0].name",
             [](Configuration &c) { c.mutable_organisations(0)->set_name("a/b"); }},
            {"organisations[0].rate_tokens_per_s",
             [](Configuration &c) { c.mutable_organisations(0)->set_rate_tokens_per_s(0); }},
            {"organisations[0].burst_tokens",
             [](Configuration &c) { c.mutable_organisations(0)->set_burst_tokens(-1); }},
            {"organisations[0].keys[0].hash",
             [](Configuration &c) {
                 c.mutable_organisations(0)->add_keys()->set_salt("0123456789abcdef");
             }},
    };
    for (const InvalidEdit &edit : edits) {
        schema::Configuration configuration = valid();
        edit.apply(configuration);
        const std::vector<ValidationError> errors = validate(configuration);
        CAPTURE(edit.path);
        CHECK(std::any_of(errors.begin(), errors.end(), [&edit](const ValidationError &error) {
            return error.path == edit.path;
        }));
    }
}

TEST_CASE("the exception with the narrowest scope applies, and an expired one is ignored")
{
    schema::FleetDocument fleet;
    fleet.mutable_defaults()->set_max_attempts(5);
    const auto add = [&fleet](const char *organisation, const char *route, const char *value,
                              int64_t until) {
        schema::SettingException &exception = *fleet.add_exceptions();
        exception.set_organisation(organisation);
        exception.set_route(route);
        exception.set_setting("max_attempts");
        exception.set_value(value);
        exception.set_reason(value);
        exception.set_until_unix_ms(until);
    };
    add("a", "/x", "1", 1000);
    add("", "/x", "2", 0);
    add("a", "", "3", 0);
    CHECK(effectiveSettings(fleet, "a", "/x", 999).max_attempts() == 1);
    CHECK(effectiveSettings(fleet, "a", "/x", 1000).max_attempts() == 3);
    CHECK(effectiveSettings(fleet, "b", "/x", 0).max_attempts() == 2);
    CHECK(effectiveSettings(fleet, "b", "", 0).max_attempts() == 5);
    CHECK(effectiveSettings(fleet, "b", "", 0).request_deadline_ms()
          == builtInDefaults().request_deadline_ms());
    const SettingExplanation explanation = explainSetting(fleet, "max_attempts", "a", "/x", 1000);
    CHECK(explanation.source == "exception");
    CHECK(explanation.reason == "3");
    CHECK(explainSetting(fleet, "max_attempts", "b", "", 0).source == "default");
    CHECK(explainSetting(fleet, "queue_limit", "b", "", 0).source == "built-in");
    CHECK(explainSetting(fleet, "nothing", "b", "", 0).source.empty());
}

} // namespace teaseldrift
