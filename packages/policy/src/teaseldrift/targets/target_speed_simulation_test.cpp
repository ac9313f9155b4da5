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
    /// Prompts have 100 tokens at least.
    uint32_t maxTokens = 1400;
    /// Time that work takes at a target, relative to the configured engine.
    std::function<double(size_t target, Instant now)> factor;
    /// Fourth figure of its load reports; none for three figures.
    std::function<std::optional<uint32_t>(size_t target, Instant now)> figure
            = [](size_t, Instant) { return std::optional<uint32_t>(100); };
    /// Selects by exact queues and speeds instead.
    bool isCentral = false;
    /// The VMs are told the exact speeds at each exchange.
    bool areSpeedsKnown = false;
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
        std::uniform_int_distribution<uint32_t> tokens(100, m_behaviour.maxTokens);
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
                selector.reportLoad(event.choice.id,
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
        if (m_behaviour.areSpeedsKnown) {
            for (size_t i = 0; i < targetCount; ++i) {
                m_vms[vm].selector.applySpeed(targetKeyOf(idOf(i)),
                                              {.usualFactor = m_behaviour.factor(i, now),
                                               .samples = 15,
                                               .momentaryAge = 1s,
                                               .incarnation = incarnationNumber(1)},
                                              now);
            }
            return;
        }
        tell(vm, 0, now);
        tell(0, vm, now);
    }

    void tell(size_t from, size_t to, Instant now)
    {
        for (const KnownTargetSpeed &known : m_vms[from].selector.speedsToSend(m_random(), now)) {
            m_vms[to].selector.applySpeed(known.targetKey, SharedSpeed::unpack(known.speed.pack()),
                                          now);
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
    // Prompts of the same time at both speeds; longer ones queue for load that is known late.
    for (const Behaviour &behaviour :
         {Behaviour{.tokensPerMs = 48.2, .maxTokens = 600, .factor = thirdIsSlow},
          Behaviour{.tokensPerMs = 112.0, .maxTokens = 1400, .factor = thirdIsSlow}}) {
        Behaviour central = behaviour;
        central.isCentral = true;
        Behaviour unreported = behaviour;
        unreported.figure = noFigure;
        const double centralMs = Fleet(central).run(10s, 10s);
        CAPTURE(centralMs);
        CHECK(Fleet(behaviour).run(10s, 10s) < 1.1 * centralMs);
        // The check above can fail.
        CHECK(Fleet(unreported).run(10s, 10s) > 1.1 * centralMs);
    }
}

TEST_CASE("long prompts: learned speeds cost little more than known ones")
{
    Behaviour behaviour{.maxTokens = 7000, .factor = thirdIsSlow};
    const double learned = Fleet(behaviour).run(10s, 10s);
    behaviour.areSpeedsKnown = true;
    const double known = Fleet(behaviour).run(10s, 10s);
    behaviour.figure = noFigure;
    behaviour.areSpeedsKnown = false;
    const double without = Fleet(behaviour).run(10s, 10s);
    CHECK(learned < 1.1 * known);
    CHECK(learned < without);
}

TEST_CASE("a target that is slowed for 0.6 s is avoided soon after the first report and used again "
          "soon afterwards")
{
    // Each second another target is slowed.
    const auto isSlowed = [](size_t target, Instant now, Duration from, Duration to) {
        const Duration since = now - start - static_cast<int64_t>(target) * 1s;
        return since >= from && since < to;
    };
    Fleet fleet(
            {.factor = [&](size_t target,
                           Instant now) { return isSlowed(target, now, 0ms, 600ms) ? 2.5 : 1.0; },
             .figure
             = [&](size_t target,
                   Instant now) { return isSlowed(target, now, 0ms, 600ms) ? 250U : 100U; }});
    fleet.run(0s, 60s);
    const auto shareBetween = [&](Duration from, Duration to) {
        // Of the requests in these parts of all seconds; a fair one is 1.
        size_t all = 0;
        size_t slowed = 0;
        for (const Sent &sent : fleet.sent()) {
            const Duration inSecond = (sent.at - start) % 1s;
            if (sent.at - start >= 5s && inSecond >= from % 1s
                && inSecond < from % 1s + (to - from)) {
                ++all;
                slowed += isSlowed(sent.target, sent.at, from, to) ? 1 : 0;
            }
        }
        return static_cast<double>(slowed) * targetCount / static_cast<double>(all);
    };
    // A target gets 13 requests a second, so that the first report takes about 0.1 s.
    CHECK(shareBetween(300ms, 600ms) < 0.5);
    CHECK(shareBetween(1100ms, 1500ms) > 0.8);
}

TEST_CASE("a target that reports false figures changes only its own share")
{
    constexpr size_t liar = 7;
    const auto even = [](size_t, Instant) { return 1.0; };
    Fleet honest({.factor = even});
    const double honestMs = honest.run(5s, 20s);
    for (const uint32_t figure : {10U, 1000U, 0U}) {
        std::mt19937_64 random(1);
        Fleet fleet({.factor = even, .figure = [&](size_t target, Instant) {
                         const uint32_t any = random() % 2 == 0 ? 10 : 1000;
                         return target == liar ? (figure == 0 ? any : figure) : 100;
                     }});
        const double ms = fleet.run(5s, 20s);
        const double share
                = targetCount * fleet.share([](const Sent &sent) { return sent.target == liar; });
        double least = 10.0;
        double most = 0.0;
        for (size_t i = 0; i < targetCount; ++i) {
            if (i != liar) {
                const double other = targetCount * fleet.share([i](const Sent &sent) {
                    return sent.target == i;
                });
                least = std::min(least, other);
                most = std::max(most, other);
            }
        }
        CAPTURE(figure);
        CHECK(ms < 1.1 * honestMs);
        // A fair share is 1.
        CHECK(share > 0.2);
        CHECK(share < 2.0);
        CHECK(least > 0.5);
        CHECK(most < 2.0);
    }
}

} // namespace teaseldrift
