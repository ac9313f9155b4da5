#include "teaseldrift/load/tally.hpp"

#include <cstdio>

#include <nlohmann/json.hpp>

#include "teaseldrift/ctl/table.hpp"
#include "teaseldrift/schema/result.hpp"

namespace teaseldrift::load {

namespace {

using nlohmann::json;

std::string formatFixed(double value, int digits = 2)
{
    constexpr size_t bufferSize = 64;
    char text[bufferSize];
    std::snprintf(text, sizeof(text), "%.*f", digits, value);
    return text;
}

std::string resultCodeName(int code)
{
    return schema::ResultCode_IsValid(code)
                   ? schema::metricLabel(static_cast<schema::ResultCode>(code))
                   : "unnumbered";
}

json percentiles(const Distribution &distribution)
{
    constexpr double p50 = 50;
    constexpr double p90 = 90;
    constexpr double p95 = 95;
    constexpr double p99 = 99;
    constexpr double p100 = 100;
    return {{"p50", distribution.percentile(p50)},  {"p90", distribution.percentile(p90)},
            {"p95", distribution.percentile(p95)},  {"p99", distribution.percentile(p99)},
            {"max", distribution.percentile(p100)}, {"samples", distribution.count()}};
}

json tallyJson(const Tally &tally)
{
    json refused = json::object();
    for (auto it = tally.refused.begin(); it != tally.refused.end(); ++it) {
        refused[std::to_string(it->first)] = it->second;
    }
    return {
            {"name", tally.name},
            {"sent", tally.sent},
            {"completed", tally.completed},
            {"incomplete", tally.incomplete},
            {"out_of_order", tally.outOfOrder},
            {"wrong_text", tally.wrongText},
            {"crossed", tally.mismatched},
            {"unknown", tally.unknown},
            {"unreachable", tally.unreachable},
            {"moved", tally.retriedElsewhere},
            {"refused_total", tally.refusedTotal()},
            {"refused", refused},
            {"calls_not_run", tally.callsNotRun},
            {"tokens", tally.tokens},
            {"hit_rate", tally.hitRate()},
            {"first_token_ms", percentiles(tally.firstTokenMs)},
            {"between_tokens_ms", percentiles(tally.betweenTokensMs)},
            {"total_ms", percentiles(tally.totalMs)},
    };
}

void addTimes(ctl::Table &table, const std::string &name, const Distribution &distribution)
{
    const json values = percentiles(distribution);
    table.rows.push_back({name, formatFixed(values["p50"]), formatFixed(values["p90"]),
                          formatFixed(values["p95"]), formatFixed(values["p99"]),
                          formatFixed(values["max"])});
}

std::vector<std::string> countsRow(const Tally &tally)
{
    return {tally.name,
            std::to_string(tally.sent),
            std::to_string(tally.completed),
            std::to_string(tally.refusedTotal()),
            std::to_string(tally.incomplete),
            std::to_string(tally.outOfOrder),
            std::to_string(tally.wrongText + tally.mismatched),
            std::to_string(tally.unknown),
            std::to_string(tally.unreachable),
            std::to_string(tally.retriedElsewhere),
            formatFixed(tally.hitRate(), 3)};
}

} // namespace

uint64_t Tally::refusedTotal() const
{
    uint64_t total = 0;
    for (auto it = refused.begin(); it != refused.end(); ++it) {
        total += it->second;
    }
    return total;
}

double Tally::hitRate() const
{
    return promptTokens == 0
                   ? 0
                   : static_cast<double>(cachedTokens) / static_cast<double>(promptTokens);
}

bool Tally::hasNoViolations() const
{
    return incomplete == 0 && outOfOrder == 0 && wrongText == 0 && mismatched == 0;
}

std::string toTable(const LoadResult &result)
{
    ctl::Table counts{.header = {"key", "sent", "complete", "refused", "incomplete", "out of order",
                                 "wrong", "unknown", "unreachable", "moved", "hit rate"}};
    for (const Tally &tally : result.byKey) {
        counts.rows.push_back(countsRow(tally));
    }
    counts.rows.push_back(countsRow(result.all));
    ctl::Table times{.header = {"ms", "p50", "p90", "p95", "p99", "max"}};
    addTimes(times, "first token", result.all.firstTokenMs);
    addTimes(times, "between tokens", result.all.betweenTokensMs);
    addTimes(times, "whole answer", result.all.totalMs);
    std::string text = ctl::toText(counts) + "\n" + ctl::toText(times);
    if (!result.all.refused.empty()) {
        ctl::Table refusals{.header = {"result code", "name", "refused"}};
        for (auto it = result.all.refused.begin(); it != result.all.refused.end(); ++it) {
            refusals.rows.push_back({std::to_string(it->first), resultCodeName(it->first),
                                     std::to_string(it->second)});
        }
        text += "\n" + ctl::toText(refusals);
    }
    text += "\n" + formatFixed(result.seconds) + " s, "
            + formatFixed(static_cast<double>(result.all.sent) / result.seconds) + " requests/s, "
            + formatFixed(static_cast<double>(result.all.tokens) / result.seconds) + " tokens/s\n";
    return text;
}

std::string toJson(const LoadResult &result)
{
    constexpr int indent = 2;
    json all = tallyJson(result.all);
    all["seconds"] = result.seconds;
    all["requests_per_s"] = static_cast<double>(result.all.sent) / result.seconds;
    all["tokens_per_s"] = static_cast<double>(result.all.tokens) / result.seconds;
    all["by_key"] = json::array();
    for (const Tally &tally : result.byKey) {
        all["by_key"].push_back(tallyJson(tally));
    }
    return all.dump(indent) + "\n";
}

} // namespace teaseldrift::load
