#include "processes/process.hpp"

#include <arpa/inet.h>
#include <cstdint>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include <catch2/catch.hpp>

namespace teaseldrift::testing {

namespace {

/// @brief Whether a socket with SO_REUSEADDR can listen on a loopback port, as a program of the
/// fleet does.
bool canListen(uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const bool listens
            = ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
              && ::listen(descriptor, 1) == 0;
    ::close(descriptor);
    return listens;
}

} // namespace

TEST_CASE("reserved ports differ from each other and a program can listen on each repeatedly")
{
    // Ports that are only looked up and given back repeat with a probability of 99.9% here.
    constexpr size_t ports = 450;
    std::vector<ReservedPort> reserved;
    reserved.reserve(ports);
    std::set<uint16_t> numbers;
    for (size_t i = 0; i < ports; ++i) {
        numbers.insert(reserved.emplace_back().number());
    }
    CHECK(numbers.size() == ports);
    for (const uint16_t port : numbers) {
        CHECK(canListen(port));
        CHECK(canListen(port));
    }
}

} // namespace teaseldrift::testing
