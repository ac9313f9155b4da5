#include "teaseldrift/router/settings_validation.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift::router {

namespace {

schema::RouterSettings validSettings()
{
    schema::RouterSettings settings;
    settings.set_caller_address("127.0.0.1");
    settings.set_caller_port(8080);
    settings.set_peer_address("::1");
    settings.set_peer_port(7400);
    settings.set_store_address("127.0.0.1:2379");
    settings.set_vm_list_address("127.0.0.1:2380");
    return settings;
}

} // namespace

TEST_CASE("valid settings have no problem")
{
    CHECK(validateSettings(validSettings()).empty());
}

TEST_CASE("an address that is none is named with its setting and what is allowed")
{
    schema::RouterSettings settings = validSettings();
    settings.set_caller_address("not-an-address");
    CHECK(validateSettings(settings)
          == std::vector<std::string>{"--caller-address: 'not-an-address' is not allowed; "
                                      "allowed: an IP address"});
    settings.set_peer_address("10.0.0.256");
    settings.set_store_address("127.0.0.1");
    settings.set_vm_list_address("127.0.0.1:notaport");
    CHECK(validateSettings(settings).size() == 4);
}

TEST_CASE("one port for callers and other VMs is refused, unless the addresses differ")
{
    schema::RouterSettings settings = validSettings();
    settings.set_peer_port(8080);
    CHECK(validateSettings(settings).empty());
    settings.set_peer_address("127.0.0.1");
    REQUIRE(validateSettings(settings).size() == 1);
    CHECK(validateSettings(settings).front().starts_with("--caller-port and --peer-port: '8080'"));
    settings.set_caller_port(0);
    settings.set_peer_port(0);
    CHECK(validateSettings(settings).empty());
}

TEST_CASE("files that cannot be read are named, and half a pair is refused")
{
    schema::RouterSettings settings = validSettings();
    settings.set_tls_certificate_file("/nonexistent/certificate.pem");
    const std::vector<std::string> errors = validateSettings(settings);
    REQUIRE(errors.size() == 2);
    CHECK(errors[0] == "--tls-certificate-file and --tls-key-file: give both or none");
    CHECK(errors[1].starts_with("--tls-certificate-file: '/nonexistent/certificate.pem'"));
}

TEST_CASE("a key of the wrong length is refused without being repeated")
{
    schema::RouterSettings settings = validSettings();
    settings.set_peer_public_key(std::string(40, 'a'));
    settings.set_peer_secret_key("short-secret");
    const std::vector<std::string> errors = validateSettings(settings);
    REQUIRE(errors.size() == 1);
    CHECK(errors.front().find("short-secret") == std::string::npos);
    CHECK(errors.front().starts_with("--peer-secret-key"));
}

} // namespace teaseldrift::router
