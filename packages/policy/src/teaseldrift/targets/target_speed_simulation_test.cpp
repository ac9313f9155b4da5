/// A fleet of VMs that select among targets of different speeds, without network.

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "teaseldrift/base/milliseconds.hpp"
#include "teaseldrift/targets/target_selector.hpp"

namespace teaseldrift {

namespace {

constexpr size_t targetCount = 60;
constexpr size_t vmCount = 88;
constexpr double requestsPerSecond = 9.0 * vmCount;
/// Interval of the load exchange of that many VMs, see relay::LoadTaskOptions.
constexpr Duration exchangeInterval = 162ms;
const Instant start(100s);

struct Behaviour
{
    double tokensPerMs = 112.0;
    /// Time that work takes at a target, relative to the configured engine.
    std::function<double(size_t target, Instant now)> factor;
    /// Fourth figure of its load reports; none for three figures.
    std::function<std::optional<uint32_t>(size_t target, Instant now)> figure
            = [](size_t, Instant) { return std::optional<uint32_t>(100); };
    /// Selects by exact queues and speeds instead.
    bool isCentral = false;
};

struct Sent
{
    size_t target = 0;
    Instant at;
};

class Fleet
{
public:
    explicit Fleet(Behaviour behaviour) : m_behaviour(std::move(behaviour)), m_vms(vmCount)
    {
        for (Vm &vm : m_vms) {
            vm.selector.setService({.name = "writer", .cacheTokens = 200000, .slots = 32}, 0.0);
            for (size_t i = 0; i < targetCount; ++i) {
                const TargetEntry entry{.id = idOf(i),
                                        .service = "writer",
                                        .availabilityZone = "z",
                                        .slots = 32,
                                        .startedAtMs = 1,
                                        .weights = {{"m", 1}}};
                vm.selector.update(entry, vm.directory.put(entry), start);
            }
        }
        for (size_t i = 0; i < vmCount; ++i) {
            m_events.push({.at = start + exchangeInterval * static_cast<int64_t>(i) / vmCount,
                           .kind = Event::Exchange,
                           .vm = i});
        }
    }

    /// @return mean time to the first event in milliseconds of requests after the warm-up
    double run(Duration warmUp, Duration length)
    {
        std::exponential_distribution<double> gap(requestsPerSecond);
        std::uniform_int_distribution<uint32_t> tokens(500, 7500);
        double sumMs = 0.0;
        size_t count = 0;
        Instant now = start;
        while (now < start + warmUp + length) {
            now += fromMs(gap(m_random) * 1000.0);
            handleEvents(now);
            const Instant begun = send(m_random() % vmCount, tokens(m_random), now);
            if (now >= start + warmUp) {
                sumMs += toMs(begun - now);
                ++count;
                m_sent.push_back({.target = m_lastTarget, .at = now});
            }
        }
        return sumMs / static_cast<double>(count);
    }

    [[nodiscard]] const std::vector<Sent> &sent() const { return m_sent; }

    [[nodiscard]] double share(const std::function<bool(const Sent &)> &condition) const
    {
        return static_cast<double>(std::count_if(m_sent.begin(), m_sent.end(), condition))
               / static_cast<double>(m_sent.size());
    }

private:
    struct Vm
    {
        TargetDirectory directory;
        TargetSelector selector{{.availabilityZone = "z"}};
        InFlightLoadTable reported;
    };

    struct Event
    {
        enum Kind { FirstEvent, End, Exchange };
        Instant at;
        Kind kind = FirstEvent;
        size_t vm = 0;
        size_t target = 0;
        TargetChoice choice = {};

        bool operator>(const Event &other) const { return at > other.at; }
    };

    static std::string idOf(size_t number) { return "e" + std::to_string(number); }

    Instant firstEventAt(size_t target, double tokens, Instant now, Instant *free) const
    {
        constexpr double baseMs = 20.0;
        const double factor = m_behaviour.factor(target, std::max(now, m_freeAt[target]));
        const Instant read = std::max(now, m_freeAt[target])
                             + fromMs(tokens / m_behaviour.tokensPerMs * factor);
        if (free != nullptr) {
            *free = read;
        }
        return read + fromMs(baseMs * factor);
    }

    Instant send(size_t vm, uint32_t tokens, Instant now)
    {
        const std::array<PromptSegment, 1> segments{{{.id = ++m_lastSegment, .tokens = tokens}}};
        TargetSelector &selector = m_vms[vm].selector;
        TargetChoice choice;
        if (m_behaviour.isCentral) {
            m_lastTarget = 0;
            for (size_t i = 1; i < targetCount; ++i) {
                if (firstEventAt(i, tokens, now, nullptr)
                    < firstEventAt(m_lastTarget, tokens, now, nullptr)) {
                    m_lastTarget = i;
                }
            }
        } else {
            choice = *selector.choose(m_vms[vm].directory,
                                      {.service = "writer",
                                       .model = "m",
                                       .segments = segments,
                                       .newestWeights = 1,
                                       .seed = m_random()},
                                      now);
            selector.sent(choice, now);
            m_lastTarget = std::stoul(choice.id.substr(1));
        }
        Instant free;
        const Instant begun = firstEventAt(m_lastTarget, tokens, now, &free);
        m_freeAt[m_lastTarget] = free;
        if (!m_behaviour.isCentral) {
            m_events.push({.at = begun, .vm = vm, .target = m_lastTarget, .choice = choice});
        }
        return begun;
    }

    void handleEvents(Instant until)
    {
        while (!m_events.empty() && m_events.top().at <= until) {
            Event event = m_events.top();
            m_events.pop();
            TargetSelector &selector = m_vms[event.vm].selector;
            if (event.kind == Event::Exchange) {
                exchange(event.vm, event.at);
                event.at += exchangeInterval;
                m_events.push(event);
            } else if (event.kind == Event::End) {
                selector.ended(event.choice, true);
            } else {
                selector.reportLoad(
                        event.choice.id,
                        {.slots = 32,
                         .workTimePercent = m_behaviour.figure(event.target, event.at)},
                        event.at);
                selector.prefillFinished(event.choice, event.at, true);
                event.kind = Event::End;
                event.at += 300ms;
                m_events.push(event);
            }
        }
    }

    /// The first VM represents the zone: the others learn from it alone.
    void exchange(size_t vm, Instant now)
    {
        InFlightLoadTable own = m_vms[vm].selector.inFlightLoad();
        for (const auto &[key, load] : m_vms[vm].reported) {
            m_total[key].backlogTokens -= load.backlogTokens;
            m_total[key].requests -= load.requests;
        }
        m_vms[vm].selector.setPeerLoad(m_total, now);
        for (const auto &[key, load] : own) {
            m_total[key] += load;
        }
        m_vms[vm].reported = std::move(own);
        tell(vm, 0, now);
        tell(0, vm, now);
    }

    void tell(size_t from, size_t to, Instant now)
    {
        for (const KnownTargetSpeed &known :
             m_vms[from].selector.speedsToSend(m_random(), now)) {
            m_vms[to].selector.applySpeed(known.targetKey,
                                          SharedSpeed::unpack(known.speed.pack()), now);
        }
    }

    Behaviour m_behaviour;
    std::vector<Vm> m_vms;
    std::array<Instant, targetCount> m_freeAt{};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    InFlightLoadTable m_total;
    std::mt19937_64 m_random{1};
    uint64_t m_lastSegment = 0;
    size_t m_lastTarget = 0;
    std::vector<Sent> m_sent;
};

double thirdIsSlow(size_t target, Instant /*now*/)
{
    return target % 3 == 0 ? 1.7 : 1.0;
}

std::optional<uint32_t> noFigure(size_t /*target*/, Instant /*now*/)
{
    return std::nullopt;
}

} // namespace

TEST_CASE("a third of the targets is 1.7 times as slow: the mean time to the first event is near "
          "that of a central scheduler")
{
    for (const double tokensPerMs : {112.0}) {
        const double central = Fleet({.tokensPerMs = tokensPerMs,
                                      .factor = thirdIsSlow,
                                      .isCentral = true})
                                       .run(5s, 10s);
        Fleet learning({.tokensPerMs = tokensPerMs, .factor = thirdIsSlow});
        const double learned = learning.run(5s, 10s);
        const double without = Fleet({.tokensPerMs = tokensPerMs, .factor = thirdIsSlow, .figure = noFigure}).run(5s, 10s);
        const double uniform = Fleet({.tokensPerMs = tokensPerMs, .factor = [](size_t, Instant) { return 1.0; }}).run(5s, 10s);
        const double uniformC = Fleet({.tokensPerMs = tokensPerMs, .factor = [](size_t, Instant) { return 1.0; }, .isCentral = true}).run(5s, 10s);
        WARN("central " << central << " learned " << learned << " without " << without << " uniform " << uniform << " uniform central " << uniformC
             << " share slow " << learning.share([](const Sent &s) { return s.target % 3 == 0; }));
    }
}

} // namespace teaseldrift
