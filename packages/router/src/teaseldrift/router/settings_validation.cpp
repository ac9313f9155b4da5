#include "teaseldrift/router/settings_validation.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <string_view>

#include <arpa/inet.h>

#include "teaseldrift/http/message.hpp"

namespace teaseldrift::router {

namespace {

/// Length of a CURVE key in Z85 encoding.
constexpr size_t curveKeyLength = 40;

class SettingsValidator
{
public:
    void reject(std::string_view flag, std::string_view value, std::string_view allowed)
    {
        m_errors.push_back(std::string(flag) + ": '" + std::string(value)
                           + "' is not allowed; allowed: " + std::string(allowed));
    }

    void checkAddress(std::string_view flag, const std::string &value)
    {
        std::array<unsigned char, sizeof(in6_addr)> parsed{};
        if (inet_pton(AF_INET, value.c_str(), parsed.data()) != 1
            && inet_pton(AF_INET6, value.c_str(), parsed.data()) != 1) {
            reject(flag, value, "an IP address");
        }
    }

    void checkEndpoint(std::string_view flag, const std::string &value)
    {
        http::Endpoint parsed;
        if (!http::parseEndpoint(value, parsed)) {
            reject(flag, value, "IP:port");
        }
    }

    void checkReadable(std::string_view flag, const std::string &value)
    {
        if (!value.empty() && !std::ifstream(value).good()) {
            reject(flag, value, "a file that can be read");
        }
    }

    void checkCurveKey(std::string_view flag, std::string_view value)
    {
        if (!value.empty() && value.size() != curveKeyLength) {
            // Keys are not printed, because one of them is secret.
            reject(flag, "(hidden)", "40 characters of Z85");
        }
    }

    void checkBothOrNone(std::string_view flags, const std::string &first,
                         const std::string &second)
    {
        if (first.empty() != second.empty()) {
            m_errors.push_back(std::string(flags) + ": give both or none");
        }
    }

    void addError(std::string error) { m_errors.push_back(std::move(error)); }

    std::vector<std::string> takeErrors() { return std::move(m_errors); }

private:
    std::vector<std::string> m_errors;
};

} // namespace

std::vector<std::string> validateSettings(const schema::RouterSettings &settings)
{
    SettingsValidator validator;
    validator.checkAddress("--caller-address", settings.caller_address());
    validator.checkAddress("--peer-address", settings.peer_address());
    validator.checkEndpoint("--store-address", settings.store_address());
    validator.checkEndpoint("--vm-list-address", settings.vm_list_address());
    const bool isSamePort = settings.caller_port() != 0
                            && settings.caller_port() == settings.peer_port()
                            && settings.caller_address() == settings.peer_address();
    if (isSamePort) {
        validator.addError(
                "--caller-port and --peer-port: '" + std::to_string(settings.caller_port())
                + "' is used for both on the same address; allowed: two different ports");
    }
    validator.checkBothOrNone("--tls-certificate-file and --tls-key-file",
                              settings.tls_certificate_file(), settings.tls_key_file());
    validator.checkReadable("--tls-certificate-file", settings.tls_certificate_file());
    validator.checkReadable("--tls-key-file", settings.tls_key_file());
    validator.checkBothOrNone("--peer-public-key and --peer-secret-key", settings.peer_public_key(),
                              settings.peer_secret_key());
    validator.checkCurveKey("--peer-public-key", settings.peer_public_key());
    validator.checkCurveKey("--peer-secret-key", settings.peer_secret_key());
    return validator.takeErrors();
}

} // namespace teaseldrift::router
