#include "teaseldrift/load/load_run.hpp"

#include <algorithm>
#include <iostream>
#include <random>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "flight.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/load/entry_book.hpp"

namespace teaseldrift::load {

namespace {

using nlohmann::json;

constexpr int firstRefusalStatus = 300;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

class Run
{
public:
    explicit Run(const LoadOptions &options);

    LoadResult run();

private:
    const LoadOptions &m_options;
    http::EventLoop m_loop;
    http::Client m_client;
    Workload m_workload;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_gap;
    std::vector<std::unique_ptr<EntryBook>> m_books;
    std::unordered_map<uint64_t, std::unique_ptr<Flight>> m_open;
    LoadResult m_result;
    Instant m_started{};
    Instant m_nextDue{};
    uint64_t m_sent = 0;
    size_t m_booksReady = 0;

    [[nodiscard]] bool isPlain() const { return !m_options.plainPath.empty(); }
    void begin();
    void arrive();
    void launch(Instant due);
    void prepare(Flight &flight);
    void send(Flight &flight);
    void onData(Flight &flight, std::string_view data);
    void onEnd(uint64_t number, http::CallEnd end);
    [[nodiscard]] bool tryElsewhere(Flight &flight, http::CallEnd end);
    void settle(Tally &tally, const Flight &flight, http::CallEnd end) const;
    void settleStream(Tally &tally, const Flight &flight, http::CallEnd end) const;
    void settlePlain(Tally &tally, const Flight &flight) const;
    void showProgress();

    template <typename Action>
    void forTallies(const Flight &flight, Action action)
    {
        action(m_result.all);
        action(m_result.byKey[flight.key]);
    }
};

Run::Run(const LoadOptions &options)
    : m_options(options), m_client(m_loop, {.ioTimeout = options.silence}),
      m_workload(options.workload), m_random(options.workload.seed), m_gap(options.requestsPerS)
{
    m_result.all.name = "all";
    const size_t keys = std::max<size_t>(1, options.keys.size());
    for (size_t i = 0; i < keys; ++i) {
        const std::string key = options.keys.empty() ? "" : options.keys[i];
        m_result.byKey.push_back({.name = "key " + std::to_string(i + 1)});
        m_books.push_back(std::make_unique<EntryBook>(m_loop, m_client, options.vms, key));
    }
}

LoadResult Run::run()
{
    m_loop.post([this] {
        if (!m_options.askEntry) {
            begin();
            return;
        }
        for (const std::unique_ptr<EntryBook> &book : m_books) {
            book->keepAsking([this] {
                if (++m_booksReady == m_books.size()) {
                    begin();
                }
            });
        }
    });
    m_loop.run();
    m_result.seconds = toSeconds(http::EventLoop::now() - m_started);
    return std::move(m_result);
}

void Run::begin()
{
    m_started = http::EventLoop::now();
    m_nextDue = m_started;
    if (m_options.progress) {
        showProgress();
    }
    arrive();
}

void Run::arrive()
{
    const Instant now = http::EventLoop::now();
    while (m_sent < m_options.requests && m_nextDue <= now && m_open.size() < m_options.maxOpen) {
        launch(m_nextDue);
        m_nextDue += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(m_gap(m_random)));
    }
    if (m_sent == m_options.requests) {
        if (m_open.empty()) {
            m_loop.stop();
        }
        return;
    }
    // A full house is looked at again soon; late arrivals still count from when they were due.
    const Duration wait = std::max(Duration(1ms), m_nextDue - now);
    m_loop.startTimer(wait, [this] { arrive(); });
}

void Run::launch(Instant due)
{
    std::unique_ptr<Flight> flight = std::make_unique<Flight>();
    flight->number = ++m_sent;
    flight->key = flight->number % m_books.size();
    flight->due = due;
    prepare(*flight);
    forTallies(*flight, [](Tally &tally) { ++tally.sent; });
    Flight &launched = *flight;
    m_open[flight->number] = std::move(flight);
    send(launched);
}

void Run::prepare(Flight &flight)
{
    const std::string id
            = std::to_string(m_options.workload.seed) + "-" + std::to_string(flight.number);
    flight.request.method = "POST";
    flight.request.headers = {{"content-type", "application/json"}, {"x-request-id", id}};
    if (!m_options.keys.empty()) {
        flight.request.headers.push_back({"authorization", "Bearer " + m_options.keys[flight.key]});
    }
    if (isPlain()) {
        flight.request.path = m_options.plainPath;
        flight.request.headers.push_back({"x-call-id", "call-" + id});
        flight.request.body = R"({"call":"call-)" + id + R"("})";
        return;
    }
    WorkloadRequest generated = m_workload.next(std::to_string(flight.key));
    flight.request.path = "/v1/chat/completions";
    flight.request.body = std::move(generated.body);
    if (m_options.verifyStandin) {
        flight.prompt = std::move(generated.prompt);
    }
}

void Run::send(Flight &flight)
{
    flight.status = 0;
    flight.body.clear();
    flight.check
            = m_options.verifyStandin ? StreamCheck(StandinText(flight.prompt)) : StreamCheck();
    const http::ConnectionUse use
            = isPlain() ? http::ConnectionUse::Fresh : http::ConnectionUse::Pooled;
    const http::Endpoint &vm = m_books[flight.key]->choose(flight.number, flight.tries++);
    flight.call = m_client.start(
            vm, flight.request, use,
            {
                    .onHead
                    = [&flight](const http::ResponseHead &head) { flight.status = head.status; },
                    .onData = [this, &flight](std::string_view data) { onData(flight, data); },
                    .onEnd
                    = [this, number = flight.number](http::CallEnd end) { onEnd(number, end); },
            });
}

void Run::onData(Flight &flight, std::string_view data)
{
    if (isPlain() || flight.status >= firstRefusalStatus) {
        flight.body += data;
        return;
    }
    const bool isFirst = flight.check.state().tokens == 0;
    const uint32_t tokens = flight.check.feed(data);
    if (tokens == 0) {
        return;
    }
    const Instant now = http::EventLoop::now();
    const double waited = milliseconds(now - (isFirst ? flight.due : flight.lastToken));
    flight.lastToken = now;
    forTallies(flight, [&](Tally &tally) {
        (isFirst ? tally.firstTokenMs : tally.betweenTokensMs).add(waited);
        tally.tokens += tokens;
    });
}

void Run::onEnd(uint64_t number, http::CallEnd end)
{
    const auto found = m_open.find(number);
    Flight &flight = *found->second;
    if (tryElsewhere(flight, end)) {
        forTallies(flight, [](Tally &tally) { ++tally.moved; });
        send(flight);
        return;
    }
    forTallies(flight, [&](Tally &tally) { settle(tally, flight, end); });
    m_open.erase(found);
    if (m_sent == m_options.requests && m_open.empty()) {
        m_loop.stop();
    }
}

bool Run::tryElsewhere(Flight &flight, http::CallEnd end)
{
    if (flight.tries >= m_options.maxTries) {
        return false;
    }
    if (end == http::CallEnd::NotSent) {
        return true;
    }
    // Codes of the VM itself; another VM may well serve the request.
    constexpr int firstVmCode = 4000;
    const Refusal refusal
            = flight.status >= firstRefusalStatus ? parseRefusal(flight.body) : Refusal();
    return end == http::CallEnd::Complete && refusal.notRun && refusal.code > firstVmCode;
}

void Run::settle(Tally &tally, const Flight &flight, http::CallEnd end) const
{
    if (end == http::CallEnd::NotSent) {
        ++tally.unreachable;
    } else if (flight.status == 0 || (isPlain() && end != http::CallEnd::Complete)) {
        ++tally.unknown;
    } else if (flight.status >= firstRefusalStatus) {
        ++tally.refused[parseRefusal(flight.body).code];
    } else if (isPlain()) {
        settlePlain(tally, flight);
    } else {
        settleStream(tally, flight, end);
    }
    tally.totalMs.add(milliseconds(http::EventLoop::now() - flight.due));
}

void Run::settleStream(Tally &tally, const Flight &flight, http::CallEnd end) const
{
    const StreamState &state = flight.check.state();
    tally.outOfOrder += state.outOfOrder ? 1 : 0;
    tally.wrongText += state.wrongText ? 1 : 0;
    tally.promptTokens += state.promptTokens;
    tally.cachedTokens += state.cachedTokens;
    const bool complete = end == http::CallEnd::Complete
                          && flight.check.isComplete(m_options.workload.maxTokens);
    ++(complete ? tally.completed : tally.incomplete);
}

void Run::settlePlain(Tally &tally, const Flight &flight) const
{
    const std::string_view expected = http::findHeader(flight.request.headers, "x-call-id");
    const json answer = json::parse(flight.body, nullptr, false);
    const std::string answered = answer.is_object() ? answer.value("call_id", "") : "";
    const bool isOwn = !m_options.verifyStandin || answered == expected;
    ++(isOwn ? tally.completed : tally.crossed);
}

void Run::showProgress()
{
    const Tally &all = m_result.all;
    std::cerr << std::chrono::duration_cast<std::chrono::seconds>(http::EventLoop::now()
                                                                  - m_started)
                         .count()
              << " s: sent " << all.sent << " of " << m_options.requests << ", open "
              << m_open.size() << ", complete " << all.completed << ", refused "
              << all.refusedTotal() << ", tokens " << all.tokens << "\n";
    m_loop.startTimer(1s, [this] { showProgress(); });
}

} // namespace

Refusal parseRefusal(std::string_view body)
{
    const json answer = json::parse(body, nullptr, false);
    const json error = answer.is_object() ? answer.value("error", json()) : json();
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
    Run run(options);
    return run.run();
}

} // namespace teaseldrift::load
