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

    /// 0 stands for a value that is derived from the machine.
    void checkZeroOrAtLeast(std::string_view flag, uint64_t value, uint64_t least)
    {
        if (value != 0 && value < least) {
            reject(flag, std::to_string(value), "0 or at least " + std::to_string(least));
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
    // Two incomplete bodies, and one with its copies in a handler, take at most half of the memory.
    constexpr uint64_t bytesPerMiB = 1U << 20U;
    constexpr uint64_t bodiesInMemory = 10;
    constexpr uint64_t minMemoryMb = 32;
    validator.checkZeroOrAtLeast(
            "--memory-mb", settings.memory_mb(),
            std::max(minMemoryMb, settings.max_body_bytes() * bodiesInMemory / bytesPerMiB));
    // 200 are for files and others, see maxCallerConnections().
    constexpr uint64_t minDescriptors = 256;
    validator.checkZeroOrAtLeast("--max-descriptors", settings.max_descriptors(), minDescriptors);
    return validator.takeErrors();
}

} // namespace teaseldrift::router
