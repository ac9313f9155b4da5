#include "teaseldrift/settings/settings.hpp"

#include <cstdlib>

#include <CLI/CLI.hpp>
#include <catch2/catch.hpp>

#include "teaseldrift/schema/settings.pb.h"

namespace teaseldrift::settings {

namespace {

/// Parses a command line.
/// @return the error message; empty on success
std::string parse(schema::RouterSettings &settings, std::vector<std::string> arguments)
{
    CLI::App app("test");
    addOptions(app, settings);
    arguments.insert(arguments.end(), {"--vm-id", "vm-1", "--availability-zone", "perth"});
    std::reverse(arguments.begin(), arguments.end());
    try {
        app.parse(arguments);
    } catch (const CLI::ParseError &error) {
        return error.what();
    }
    return {};
}

} // namespace

TEST_CASE("defaults come from the schema and flags override them")
{
    schema::RouterSettings settings;
    CHECK(parse(settings, {"--caller-port", "0", "--debug-headers"}).empty());
    CHECK(settings.caller_port() == 0);
    CHECK(settings.peer_port() == 7400);
    CHECK(settings.debug_headers());
    CHECK_FALSE(settings.check());
}

TEST_CASE("help shows that switches are off unless given")
{
    schema::RouterSettings settings;
    CLI::App app("test");
    addOptions(app, settings);
    const std::string help = app.help();
    CHECK_THAT(help, Catch::Contains("--check [=true|false] (false unless given)"));
    CHECK_THAT(help, !Catch::Contains("=true ("));
}

TEST_CASE("an environment variable sets a setting")
{
    setenv("TEASELDRIFT_PEER_PORT", "7500", 1);
    schema::RouterSettings settings;
    CHECK(parse(settings, {}).empty());
    unsetenv("TEASELDRIFT_PEER_PORT");
    CHECK(settings.peer_port() == 7500);
}

TEST_CASE("an error names the setting, the value and the allowed values")
{
    schema::RouterSettings settings;
    const std::string range = parse(settings, {"--freshness-bound-ms", "9000"});
    CHECK_THAT(range, Catch::Contains("--freshness-bound-ms"));
    CHECK_THAT(range, Catch::Contains("'9000'"));
    CHECK_THAT(range, Catch::Contains("500 to 5000 ms"));
    const std::string choice = parse(settings, {"--log-level", "loud"});
    CHECK_THAT(choice, Catch::Contains("debug, info, warn, error"));
    CHECK_FALSE(parse(settings, {"--caller-port", "80x"}).empty());
}

TEST_CASE("secrets are masked")
{
    schema::RouterSettings settings;
    CHECK(parse(settings, {"--admin-token", "hush"}).empty());
    const std::string formatted = formatSettings(settings);
    CHECK(formatted.find("hush") == std::string::npos);
    CHECK(formatted.find("TEASELDRIFT_VM_ID=vm-1") != std::string::npos);
}

} // namespace teaseldrift::settings
