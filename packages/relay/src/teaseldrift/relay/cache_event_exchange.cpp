#include "teaseldrift/relay/cache_event_exchange.hpp"

#include <utility>

namespace teaseldrift::relay {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

/// Longest wait for another VM: events that come later are worth little.
constexpr Duration answerTimeout = 500ms;

} // namespace

struct CacheEventExchange::Native
{
    struct Question
    {
        std::unique_ptr<http::Call> call;
        http::EventLoop::TimerId timer = 0;
        int status = 0;
        std::string body;
        Handler handler;
    };

    http::EventLoop &loop;
    http::Client &peers;
    uint64_t lastQuestion = 0;
    std::map<uint64_t, Question> questions;
    std::map<std::string, PartEventLog, std::less<>> logs;

    void finish(uint64_t number, bool isWhole);

    /// @return null once the question has ended
    Question *find(uint64_t number)
    {
        const auto found = questions.find(number);
        return found == questions.end() ? nullptr : &found->second;
    }
};

CacheEventExchange::CacheEventExchange(http::EventLoop &loop, http::Client &peers)
    : m_native(new Native{.loop = loop, .peers = peers})
{ }

CacheEventExchange::~CacheEventExchange() = default;

void CacheEventExchange::keep(const std::string &cache, std::span<const PartEvent> events)
{
    auto found = m_native->logs.find(cache);
    if (found == m_native->logs.end()) {
        // The start of the log tells it from an earlier one of this or another VM.
        const uint64_t incarnation
                = static_cast<uint64_t>(http::EventLoop::now().time_since_epoch().count()) | 1U;
        found = m_native->logs.emplace(cache, PartEventLog(incarnation)).first;
    }
    found->second.append(events);
}

void CacheEventExchange::drop(const std::string &cache)
{
    m_native->logs.erase(cache);
}

void CacheEventExchange::ask(const http::Endpoint &reader, const schema::CacheEventsAsk &ask,
                             Handler handler)
{
    Native &native = *m_native;
    const uint64_t number = ++native.lastQuestion;
    Native::Question &question = native.questions[number];
    question.handler = std::move(handler);
    question.timer = native.loop.startTimer(answerTimeout,
                                            [&native, number] { native.finish(number, false); });
    question.call = native.peers.start(
            reader, {.method = "POST", .path = std::string(path), .body = ask.SerializeAsString()},
            http::ConnectionUse::Pooled,
            {.onHead =
                     [&native, number](const http::ResponseHead &head) {
                         if (Native::Question *open = native.find(number)) {
                             open->status = head.status;
                         }
                     },
             .onData =
                     [&native, number](std::string_view data) {
                         if (Native::Question *open = native.find(number)) {
                             open->body.append(data);
                         }
                     },
             .onEnd =
                     [&native, number](http::CallEnd end) {
                         native.finish(number, end == http::CallEnd::Complete);
                     }});
}

void CacheEventExchange::Native::finish(uint64_t number, bool isWhole)
{
    const auto found = questions.find(number);
    if (found == questions.end()) {
        return;
    }
    // The call's own handler may be running, so the call is destroyed later.
    const std::shared_ptr<Question> ended = std::make_shared<Question>(std::move(found->second));
    questions.erase(found);
    loop.cancelTimer(ended->timer);
    loop.post([ended] {});
    schema::CacheEventsAnswer answer;
    if (!isWhole || ended->status != statusOk || !answer.ParseFromString(ended->body)) {
        answer.Clear();
    }
    ended->handler(answer);
}

void CacheEventExchange::answer(http::Exchange &exchange)
{
    schema::CacheEventsAsk ask;
    if (!ask.ParseFromArray(exchange.body().data(), static_cast<int>(exchange.body().size()))) {
        exchange.respond({.status = statusBadRequest});
        return;
    }
    schema::CacheEventsAnswer answer;
    for (const schema::CacheEventsAsk::Cache &asked : ask.caches()) {
        const auto found = m_native->logs.find(asked.cache());
        if (found == m_native->logs.end()) {
            continue;
        }
        const PartEventLog &log = found->second;
        schema::CacheEventsAnswer::Cache &cache = *answer.add_caches();
        cache.set_cache(asked.cache());
        cache.set_incarnation(log.incarnation());
        cache.set_next(log.next());
        cache.set_has_gap(!log.reachesBack(asked.since()));
        for (const PartEvent &event : log.since(asked.since())) {
            cache.add_part_keys(event.partKey);
            cache.add_tokens(event.tokens);
        }
    }
    exchange.respond({.body = answer.SerializeAsString()});
}

} // namespace teaseldrift::relay
