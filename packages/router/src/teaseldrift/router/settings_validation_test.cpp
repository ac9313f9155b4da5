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

TEST_CASE("valid settings have no errors")
{
    CHECK(validateSettings(validSettings()).empty());
}

TEST_CASE("an invalid address is reported with its setting and the allowed values")
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

// Guards against bounds on clients that refuse a single request, or every connection.
TEST_CASE("too little memory or too few descriptors are reported")
{
    schema::RouterSettings settings = validSettings();
    settings.set_max_body_bytes(8U << 20U);
    settings.set_memory_mb(80);
    settings.set_max_descriptors(256);
    CHECK(validateSettings(settings).empty());
    settings.set_memory_mb(79);
    settings.set_max_descriptors(255);
    CHECK(validateSettings(settings)
          == std::vector<std::string>{
                  "--memory-mb: '79' is not allowed; allowed: 0 or at least 80",
                  "--max-descriptors: '255' is not allowed; allowed: 0 or at least 256"});
}

TEST_CASE("the same port for callers and other VMs is rejected, unless the addresses differ")
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

TEST_CASE("unreadable files are reported, and incomplete pairs of settings are rejected")
{
    schema::RouterSettings settings = validSettings();
    settings.set_tls_certificate_file("/nonexistent/certificate.pem");
    const std::vector<std::string> errors = validateSettings(settings);
    REQUIRE(errors.size() == 2);
    CHECK(errors[0] == "--tls-certificate-file and --tls-key-file: give both or none");
    CHECK(errors[1].starts_with("--tls-certificate-file: '/nonexistent/certificate.pem'"));
}

TEST_CASE("a key of the wrong length is rejected without being printed")
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
