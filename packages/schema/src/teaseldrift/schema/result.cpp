#include "teaseldrift/schema/result.hpp"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace teaseldrift::schema {

namespace {

class ResultCategory : public std::error_category
{
public:
    [[nodiscard]] const char *name() const noexcept override { return "teaseldrift"; }

    [[nodiscard]] std::string message(int value) const override
    {
        return describe(static_cast<ResultCode>(value)).message();
    }
};

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string_view ranWord(Ran ran)
{
    switch (ran) {
    case RAN_NO:
        return "no";
    case RAN_YES:
        return "yes";
    default:
        return "unknown";
    }
}

} // namespace

const ResultInfo &describe(ResultCode code)
{
    const google::protobuf::EnumValueDescriptor *value
            = ResultCode_descriptor()->FindValueByNumber(code);
    if (value == nullptr) {
        value = ResultCode_descriptor()->FindValueByNumber(INTERNAL);
    }
    return value->options().GetExtension(result);
}

const std::error_category &resultCategory() noexcept
{
    static const ResultCategory category;
    return category;
}

std::error_code makeError(ResultCode code) noexcept
{
    return {static_cast<int>(code), resultCategory()};
}

ResultCode resultCodeOf(const std::error_code &error) noexcept
{
    if (!error) {
        return OK;
    }
    if (error.category() != resultCategory() || !ResultCode_IsValid(error.value())) {
        return INTERNAL;
    }
    return static_cast<ResultCode>(error.value());
}

std::string metricLabel(ResultCode code)
{
    return lowered(ResultCode_Name(code));
}

std::string metricLabel(RetryReason reason)
{
    constexpr size_t prefixLength = std::string_view("RETRY_").size();
    return lowered(RetryReason_Name(reason)).substr(prefixLength);
}

std::string resultCodesPage()
{
    std::ostringstream page;
    page << "# Result codes\n\n"
         << "Generated from `packages/schema/proto/teaseldrift/schema/result_code.proto` by "
            "`result-codes-table`.\n\n"
         << "| code | name | HTTP status | ran | message | what an operator does |\n"
         << "|---|---|---|---|---|---|\n";
    const google::protobuf::EnumDescriptor *codes = ResultCode_descriptor();
    for (int i = 0; i < codes->value_count(); ++i) {
        const google::protobuf::EnumValueDescriptor *value = codes->value(i);
        const ResultInfo &info = value->options().GetExtension(result);
        page << "| " << value->number() << " | " << lowered(value->name()) << " | "
             << info.http_status() << " | " << ranWord(info.ran()) << " | " << info.message()
             << " | " << info.advice() << " |\n";
    }
    return page.str();
}

} // namespace teaseldrift::schema
