#include "teaseldrift/router/load_report.hpp"

#include <catch2/catch.hpp>

namespace teaseldrift::router {

namespace {

constexpr Instant now(100s);

} // namespace

TEST_CASE("a load report is parsed")
{
    TargetLoad report;
    REQUIRE(parseLoadReport(R"({"incarnation":7,"running":2,"queued":1,"slots":8,"age_ms":40,)"
                            R"("requests_per_s":2.5,"models":[{"name":"m","version":"3"}]})",
                            now, report));
    CHECK(report.incarnation == 7);
    CHECK(report.running == 2);
    CHECK(report.slots == 8);
    CHECK(report.requestsPerSecond == Approx(2.5));
    CHECK(report.observedAt == now - 40ms);
    CHECK(report.models.at("m") == "3");
}

// Guards against a malformed report that ends the process.
TEST_CASE("odd fields of a load report count as absent")
{
    const std::string deep = std::string(30000, '[') + std::string(30000, ']');
    for (const std::string &odd : {std::string(R"("8")"), std::string("-1"), std::string("0.5"),
                                   std::string("null"), std::string("{}"), std::string("[1]")}) {
        INFO(odd);
        TargetLoad report;
        const std::string body = R"({"incarnation":7,"running":)" + odd + R"(,"queued":)" + odd
                                 + R"(,"slots":)" + odd + R"(,"prefill_backlog_tokens":)" + odd
                                 + R"(,"age_ms":)" + odd + R"(,"models":[{"name":)" + odd
                                 + R"(,"version":)" + odd + "}," + odd + "]}";
        CHECK(parseLoadReport(body, now, report));
        CHECK(report.incarnation == 7);
        CHECK(report.slots == 0);
        CHECK(report.observedAt == now);
    }
    TargetLoad report;
    CHECK_FALSE(parseLoadReport(R"({"incarnation":7,"models":)" + deep + "}", now, report));
    CHECK_FALSE(parseLoadReport(R"({"incarnation":1e400})", now, report));
}

// Guards against a limit that overflows where tokens are computed from it.
TEST_CASE("an odd limit in a load report counts as none, and is noticed")
{
    for (const std::string odd : {"1e300", "1000001", "-1", "-0.5", "\"2\"", "null", "{}", "[2]"}) {
        INFO(odd);
        TargetLoad report;
        REQUIRE(parseLoadReport(R"({"incarnation":7,"requests_per_s":)" + odd + "}", now, report));
        CHECK_FALSE(report.requestsPerSecond.has_value());
        CHECK(report.hasInvalidLimit);
    }
    for (const std::string valid : {"0", "0.1", "2", "1000000"}) {
        INFO(valid);
        TargetLoad report;
        REQUIRE(parseLoadReport(R"({"incarnation":7,"requests_per_s":)" + valid + "}", now,
                                report));
        CHECK(report.requestsPerSecond.has_value());
        CHECK_FALSE(report.hasInvalidLimit);
    }
}

TEST_CASE("numbers of a load report that are too large do not wrap around")
{
    TargetLoad report;
    REQUIRE(parseLoadReport(
            R"({"incarnation":7,"running":4294967297,"queued":4294967297,"age_ms":18446744073709551615})",
            now, report));
    CHECK(report.running == std::numeric_limits<uint32_t>::max());
    CHECK(report.queued == std::numeric_limits<uint32_t>::max());
    CHECK(report.observedAt <= now);
}

} // namespace teaseldrift::router
