#include "teaseldrift/schema/result.hpp"

#include <set>

#include <catch2/catch.hpp>

namespace teaseldrift::schema {

TEST_CASE("every result code has a status, a message and advice")
{
    const google::protobuf::EnumDescriptor *codes = ResultCode_descriptor();
    for (int i = 0; i < codes->value_count(); ++i) {
        const ResultInfo &info = describe(static_cast<ResultCode>(codes->value(i)->number()));
        CAPTURE(codes->value(i)->name());
        CHECK(info.http_status() >= 200);
        CHECK(info.http_status() < 600);
        CHECK_FALSE(info.message().empty());
        CHECK_FALSE(info.advice().empty());
    }
}

TEST_CASE("an error code keeps its result code")
{
    CHECK(resultCodeOf(makeError(RATE_EXCEEDED)) == RATE_EXCEEDED);
    CHECK(resultCodeOf({}) == OK);
    CHECK(resultCodeOf(std::make_error_code(std::errc::timed_out)) == INTERNAL);
    CHECK(makeError(NO_TARGET).message() == describe(NO_TARGET).message());
}

TEST_CASE("metric labels are lower case without prefix")
{
    CHECK(metricLabel(KEY_REFUSED) == "key_refused");
    CHECK(metricLabel(RETRY_CONNECT_FAILED) == "connect_failed");
}

} // namespace teaseldrift::schema
