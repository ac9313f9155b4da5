#include "teaseldrift/load/load_run.hpp"

#include <algorithm>
#include <iostream>
#include <random>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "in_flight_request.hpp"
#include "teaseldrift/base/json_input.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/load/entry_vm_resolver.hpp"

namespace teaseldrift::load {

namespace {

using nlohmann::json;

constexpr int firstRefusalStatus = 300;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

class LoadGenerator
{
public:
    explicit LoadGenerator(const LoadOptions &options);

    LoadResult run();

private:
    const LoadOptions &m_options;
    http::EventLoop m_loop;
    http::Client m_client;
    Workload m_workload;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_interArrivalTime;
    std::vector<std::unique_ptr<EntryVmResolver>> m_resolvers;
    std::unordered_map<uint64_t, std::unique_ptr<InFlightRequest>> m_inFlight;
    LoadResult m_result;
    Instant m_started{};
    Instant m_nextDue{};
    uint64_t m_sent = 0;
    size_t m_resolversReady = 0;

    [[nodiscard]] bool isPlain() const { return !m_options.plainPath.empty(); }
    void start();
    void sendDueRequests();
    void startRequest(Instant due);
    void buildRequest(InFlightRequest &inFlight);
    void send(InFlightRequest &inFlight);
    void onData(InFlightRequest &inFlight, std::string_view data);
    void onEnd(uint64_t number, http::CallOutcome end);
    [[nodiscard]] bool shouldRetryElsewhere(InFlightRequest &inFlight, http::CallOutcome end);
    void recordResult(Tally &tally, const InFlightRequest &inFlight, http::CallOutcome end) const;
    void recordStream(Tally &tally, const InFlightRequest &inFlight, http::CallOutcome end) const;
    void recordPlainCall(Tally &tally, const InFlightRequest &inFlight) const;
    void showProgress();

    template <typename Action>
    void updateTallies(const InFlightRequest &inFlight, Action action)
    {
        action(m_result.all);
        action(m_result.byKey[inFlight.key]);
    }
};

LoadGenerator::LoadGenerator(const LoadOptions &options)
    : m_options(options), m_client(m_loop, {.ioTimeout = options.ioTimeout}),
      m_workload(options.workload), m_random(options.workload.seed),
      m_interArrivalTime(options.requestsPerS)
{
    m_result.all.name = "all";
    const size_t keys = std::max<size_t>(1, options.keys.size());
    for (size_t i = 0; i < keys; ++i) {
        const std::string key = options.keys.empty() ? "" : options.keys[i];
        m_result.byKey.push_back({.name = "key " + std::to_string(i + 1)});
        m_resolvers.push_back(
                std::make_unique<EntryVmResolver>(m_loop, m_client, options.vms, key));
    }
}

LoadResult LoadGenerator::run()
{
    m_loop.post([this] {
        if (!m_options.discoverEntryVms) {
            start();
            return;
        }
        for (const std::unique_ptr<EntryVmResolver> &resolver : m_resolvers) {
            resolver->startRefreshing([this] {
                if (++m_resolversReady == m_resolvers.size()) {
                    start();
                }
            });
        }
    });
    m_loop.run();
    m_result.seconds = toSeconds(http::EventLoop::now() - m_started);
    return std::move(m_result);
}

void LoadGenerator::start()
{
    m_started = http::EventLoop::now();
    m_nextDue = m_started;
    if (m_options.progress) {
        showProgress();
    }
    sendDueRequests();
}

void LoadGenerator::sendDueRequests()
{
    const Instant now = http::EventLoop::now();
    while (m_sent < m_options.requests && m_nextDue <= now
           && m_inFlight.size() < m_options.maxInFlight) {
        startRequest(m_nextDue);
        m_nextDue += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(m_interArrivalTime(m_random)));
    }
    if (m_sent == m_options.requests) {
        if (m_inFlight.empty()) {
            m_loop.stop();
        }
        return;
    }
    // At the limit of requests in flight, checks again after 1 ms. Latencies of delayed arrivals
    // are still measured from their scheduled time, so that the delay is not hidden.
    const Duration wait = std::max(Duration(1ms), m_nextDue - now);
    m_loop.startTimer(wait, [this] { sendDueRequests(); });
}

void LoadGenerator::startRequest(Instant due)
{
    std::unique_ptr<InFlightRequest> inFlight = std::make_unique<InFlightRequest>();
    inFlight->number = ++m_sent;
    inFlight->key = inFlight->number % m_resolvers.size();
    inFlight->due = due;
    buildRequest(*inFlight);
    updateTallies(*inFlight, [](Tally &tally) { ++tally.sent; });
    InFlightRequest &started = *inFlight;
    m_inFlight[inFlight->number] = std::move(inFlight);
    send(started);
}

void LoadGenerator::buildRequest(InFlightRequest &inFlight)
{
    const std::string id
            = std::to_string(m_options.workload.seed) + "-" + std::to_string(inFlight.number);
    inFlight.request.method = "POST";
    inFlight.request.headers = {{"content-type", "application/json"}, {"x-request-id", id}};
    if (!m_options.keys.empty()) {
        inFlight.request.headers.push_back(
                {"authorization", "Bearer " + m_options.keys[inFlight.key]});
    }
    if (isPlain()) {
        inFlight.request.path = m_options.plainPath;
        inFlight.request.headers.push_back({"x-call-id", "call-" + id});
        inFlight.request.body = R"({"call":"call-)" + id + R"("})";
        return;
    }
    WorkloadRequest generated = m_workload.next(std::to_string(inFlight.key));
    inFlight.request.path = "/v1/chat/completions";
    inFlight.request.body = std::move(generated.body);
    if (m_options.verifyStandin) {
        inFlight.prompt = std::move(generated.prompt);
    }
}

void LoadGenerator::send(InFlightRequest &inFlight)
{
    inFlight.status = 0;
    inFlight.body.clear();
    inFlight.validator = m_options.verifyStandin ? StreamValidator(StandinText(inFlight.prompt))
                                                 : StreamValidator();
    const http::ConnectionUse use
            = isPlain() ? http::ConnectionUse::Fresh : http::ConnectionUse::Pooled;
    const http::Endpoint &vm
            = m_resolvers[inFlight.key]->select(inFlight.number, inFlight.attempts++);
    inFlight.call = m_client.start(
            vm, inFlight.request, use,
            {
                    .onHead
                    = [&inFlight](
                              const http::ResponseHead &head) { inFlight.status = head.status; },
                    .onData = [this, &inFlight](std::string_view data) { onData(inFlight, data); },
                    .onEnd = [this, number = inFlight.number](
                                     http::CallOutcome end) { onEnd(number, end); },
            });
}

void LoadGenerator::onData(InFlightRequest &inFlight, std::string_view data)
{
    if (isPlain() || inFlight.status >= firstRefusalStatus) {
        inFlight.body += data;
        return;
    }
    const bool isFirst = inFlight.validator.state().tokens == 0;
    const uint32_t tokens = inFlight.validator.feed(data);
    if (tokens == 0) {
        return;
    }
    const Instant now = http::EventLoop::now();
    const double waited = milliseconds(now - (isFirst ? inFlight.due : inFlight.lastToken));
    inFlight.lastToken = now;
    updateTallies(inFlight, [&](Tally &tally) {
        (isFirst ? tally.firstTokenMs : tally.betweenTokensMs).add(waited);
        tally.tokens += tokens;
    });
}

void LoadGenerator::onEnd(uint64_t number, http::CallOutcome end)
{
    const auto found = m_inFlight.find(number);
    InFlightRequest &inFlight = *found->second;
    if (shouldRetryElsewhere(inFlight, end)) {
        updateTallies(inFlight, [](Tally &tally) { ++tally.retriedElsewhere; });
        send(inFlight);
        return;
    }
    updateTallies(inFlight, [&](Tally &tally) { recordResult(tally, inFlight, end); });
    m_inFlight.erase(found);
    if (m_sent == m_options.requests && m_inFlight.empty()) {
        m_loop.stop();
    }
}

bool LoadGenerator::shouldRetryElsewhere(InFlightRequest &inFlight, http::CallOutcome end)
{
    if (inFlight.attempts >= m_options.maxAttempts) {
        return false;
    }
    if (end == http::CallOutcome::NotSent) {
        return true;
    }
    // Higher result codes report conditions of the VM itself; another VM may serve the request.
    constexpr int firstVmCode = 4000;
    const Refusal refusal
            = inFlight.status >= firstRefusalStatus ? parseRefusal(inFlight.body) : Refusal();
    return end == http::CallOutcome::Complete && refusal.notRun && refusal.code > firstVmCode;
}

void LoadGenerator::recordResult(Tally &tally, const InFlightRequest &inFlight,
                                 http::CallOutcome end) const
{
    if (end == http::CallOutcome::NotSent) {
        ++tally.unreachable;
    } else if (inFlight.status == 0 || (isPlain() && end != http::CallOutcome::Complete)) {
        ++tally.unknown;
    } else if (inFlight.status >= firstRefusalStatus) {
        const Refusal refusal = parseRefusal(inFlight.body);
        ++tally.refused[refusal.code];
        if (isPlain() && refusal.notRun) {
            tally.callsNotRun.emplace_back(http::findHeader(inFlight.request.headers, "x-call-id"));
        }
    } else if (isPlain()) {
        recordPlainCall(tally, inFlight);
    } else {
        recordStream(tally, inFlight, end);
    }
    tally.totalMs.add(milliseconds(http::EventLoop::now() - inFlight.due));
}

void LoadGenerator::recordStream(Tally &tally, const InFlightRequest &inFlight,
                                 http::CallOutcome end) const
{
    const StreamState &state = inFlight.validator.state();
    tally.outOfOrder += state.outOfOrder ? 1 : 0;
    tally.wrongText += state.wrongText ? 1 : 0;
    tally.promptTokens += state.promptTokens;
    tally.cachedTokens += state.cachedTokens;
    const bool complete = end == http::CallOutcome::Complete
                          && inFlight.validator.isComplete(m_options.workload.maxTokens);
    ++(complete ? tally.completed : tally.incomplete);
}

void LoadGenerator::recordPlainCall(Tally &tally, const InFlightRequest &inFlight) const
{
    const std::string_view expected = http::findHeader(inFlight.request.headers, "x-call-id");
    const json response = parseJson(inFlight.body);
    const std::string answeredCallId = response.is_object() ? response.value("call_id", "") : "";
    const bool matchesCall = !m_options.verifyStandin || answeredCallId == expected;
    ++(matchesCall ? tally.completed : tally.mismatched);
}

void LoadGenerator::showProgress()
{
    const Tally &all = m_result.all;
    std::cerr << std::chrono::duration_cast<std::chrono::seconds>(http::EventLoop::now()
                                                                  - m_started)
                         .count()
              << " s: sent " << all.sent << " of " << m_options.requests << ", open "
              << m_inFlight.size() << ", complete " << all.completed << ", refused "
              << all.refusedTotal() << ", tokens " << all.tokens << "\n";
    m_loop.startTimer(1s, [this] { showProgress(); });
}

} // namespace

Refusal parseRefusal(std::string_view body)
{
    const json response = parseJson(body);
    const json error = response.is_object() ? response.value("error", json()) : json();
    if (!error.is_object()) {
        return {};
    }
    Refusal refusal;
    const auto code = error.find("code");
    refusal.code = code != error.end() && code->is_number_integer() ? code->get<int>() : 0;
    const auto ran = error.find("ran");
    refusal.notRun = ran != error.end() && ran->is_string() && *ran == "no";
    return refusal;
}

LoadOptions LoadOptions::plain(std::string path)
{
    LoadOptions options;
    options.plainPath = std::move(path);
    return options;
}

LoadResult runLoad(const LoadOptions &options)
{
    LoadGenerator run(options);
    return run.run();
}

} // namespace teaseldrift::load
