#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <random>

#include "fleet.hpp"
#include "teaseldrift/homes/home_set.hpp"

namespace teaseldrift::rates {

namespace {

constexpr uint64_t seed = 20261203;
constexpr double meanPromptTokens = 1200.0;
constexpr double maximumOutputTokens = 600.0;

double percentage(uint64_t some, uint64_t all)
{
    return all == 0 ? 0.0 : 100.0 * static_cast<double>(some) / static_cast<double>(all);
}

} // namespace

Fleet::Fleet(Timeline &runTimeline, const Scenario &runScenario)
    : timeline(runTimeline), scenario(runScenario), up(runScenario.vms, true),
      listed(runScenario.vms, true)
{
    for (size_t vm = 0; vm < scenario.vms; ++vm) {
        names.push_back("vm-" + std::to_string(vm));
    }
    m_idealBuckets.resize(scenario.organisations.size());
    m_roomBuckets.resize(scenario.organisations.size());
}

std::string Fleet::zoneOf(size_t vm) const
{
    return "zone-" + std::to_string(vm % scenario.zones);
}

std::vector<size_t> Fleet::homesOf(size_t organisation) const
{
    std::vector<homes::VmView> listedVms;
    std::vector<size_t> slots;
    for (size_t vm = 0; vm < scenario.vms; ++vm) {
        if (listed[vm]) {
            listedVms.push_back({.id = names[vm], .availabilityZone = zoneOf(vm)});
            slots.push_back(vm);
        }
    }
    std::vector<size_t> chosen;
    for (const size_t home : homes::homeSet(scenario.organisations[organisation].name, listedVms)) {
        chosen.push_back(slots[home]);
    }
    return chosen;
}

void Fleet::refill(IdealBucket &bucket, size_t organisation) const
{
    const Limits &limits = scenario.organisations[organisation].limits;
    const MicroTokens gain
            = allowance::accruedTokens(limits, allowance::wholeShare, timeline.now() - bucket.at);
    bucket.level = std::min(limits.burst, bucket.level + gain);
    bucket.at = timeline.now();
}

void Fleet::refund(IdealBucket &bucket, const Request &request) const
{
    refill(bucket, request.organisation);
    const MicroTokens burst = scenario.organisations[request.organisation].limits.burst;
    bucket.level = std::min(burst, bucket.level + request.unused);
}

void Fleet::decide(size_t index, bool admitted, Instant at)
{
    Request &request = requests[index];
    if (request.decided) {
        return;
    }
    request.decided = true;
    request.admitted = admitted;
    request.admittedAt = at;
    if (!admitted) {
        return;
    }
    IdealBucket &room = m_roomBuckets[request.organisation];
    refill(room, request.organisation);
    room.level -= request.cost;
    timeline.after(request.length, [this, index] {
        refund(m_roomBuckets[requests[index].organisation], requests[index]);
        if (up[requests[index].vm]) {
            m_finish(index);
        }
    });
}

void Fleet::arrive(size_t index, const std::function<void(size_t)> &admit)
{
    Request &request = requests[index];
    if (!up[request.vm]) {
        return;
    }
    request.reached = true;
    IdealBucket &ideal = m_idealBuckets[request.organisation];
    refill(ideal, request.organisation);
    if (ideal.level >= request.cost) {
        ideal.level -= request.cost;
        request.admittedIdeally = true;
        timeline.after(request.length, [this, index] {
            const Request &done = requests[index];
            refund(m_idealBuckets[done.organisation], done);
        });
    }
    IdealBucket &room = m_roomBuckets[request.organisation];
    refill(room, request.organisation);
    request.fitsRate = room.level >= request.cost;
    admit(index);
}

/// Selects the VM that a caller connects to: any VM if its entry response is stale, the hot home
/// for the skewed part of the traffic, otherwise one of the homes.
size_t Fleet::selectVm(size_t organisation, Instant when, uint64_t first, double draw) const
{
    if (draw < scenario.staleEntryFraction) {
        return first % scenario.vms;
    }
    const std::vector<size_t> homes = homesOf(organisation);
    if (draw < scenario.staleEntryFraction + scenario.hotHomeFraction) {
        const size_t period = static_cast<size_t>((when - Instant{}) / scenario.hotHomePeriod);
        return homes[period % homes.size()];
    }
    return homes[first % homes.size()];
}

void Fleet::scheduleArrivals(const std::function<void(size_t)> &admit,
                             const std::function<void(size_t)> &finish)
{
    m_finish = finish;
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> prompt(std::log(meanPromptTokens) - 0.32, 0.8);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    const double meanNet = meanPromptTokens + maximumOutputTokens / 2;
    for (size_t organisation = 0; organisation < scenario.organisations.size(); ++organisation) {
        const Organisation &one = scenario.organisations[organisation];
        const double rate = static_cast<double>(one.limits.rate) / allowance::microTokensPerToken;
        std::exponential_distribution<double> gap(rate * one.load / meanNet);
        double when = 0.0;
        while (true) {
            when += gap(random);
            const Instant arrival = Instant{} + Duration(static_cast<int64_t>(when * 1e6));
            if (arrival >= Instant{} + scenario.length) {
                break;
            }
            const double output = maximumOutputTokens * uniform(random);
            const double cost = std::min(prompt(random), 9000.0) + maximumOutputTokens;
            const Request request{
                    .organisation = organisation,
                    .arrival = arrival,
                    .cost = static_cast<MicroTokens>(cost * allowance::microTokensPerToken),
                    .unused = static_cast<MicroTokens>((maximumOutputTokens - output)
                                                       * allowance::microTokensPerToken),
                    .length = Duration(500'000 + static_cast<int64_t>(output * 4000.0)),
            };
            const size_t index = requests.size();
            requests.push_back(request);
            const uint64_t first = random();
            const double draw = uniform(random);
            timeline.at(arrival, [this, index, first, draw, admit] {
                Request &arriving = requests[index];
                arriving.vm = selectVm(arriving.organisation, arriving.arrival, first, draw);
                arrive(index, admit);
            });
        }
    }
}

void Fleet::scheduleFaults(const std::function<void(size_t)> &crash,
                           const std::function<void(size_t)> &start,
                           const std::function<void()> &onVmList)
{
    const Instant origin{};
    const auto stop = [this, crash](size_t vm) {
        up[vm] = false;
        crash(vm);
    };
    const auto restart = [this, start](size_t vm) {
        up[vm] = true;
        start(vm);
    };
    if (scenario.storeDownTo > 0s) {
        timeline.at(origin + scenario.storeDownFrom, [this] { storeDown = true; });
        timeline.at(origin + scenario.storeDownTo, [this] { storeDown = false; });
    }
    const size_t victim = homesOf(0).front();
    if (scenario.loseVmAt > 0s) {
        const Instant lost = origin + scenario.loseVmAt;
        timeline.at(lost, [stop, victim] { stop(victim); });
        timeline.at(lost + scenario.listLag, [this, victim, onVmList] {
            listed[victim] = false;
            onVmList();
        });
        timeline.at(lost + scenario.replaceAfter, [this, victim, restart, onVmList] {
            names[victim] += "-b";
            listed[victim] = true;
            restart(victim);
            onVmList();
        });
    }
    if (scenario.restartOneAt > 0s) {
        const Instant when = origin + scenario.restartOneAt;
        timeline.at(when, [stop, victim] { stop(victim); });
        timeline.at(when + scenario.restartTime, [restart, victim] { restart(victim); });
    }
    if (scenario.restartAllFrom > 0s) {
        for (size_t vm = 0; vm < scenario.vms; ++vm) {
            const Instant when = origin + scenario.restartAllFrom
                                 + static_cast<int64_t>(vm) * Duration(60s)
                                           / static_cast<int64_t>(scenario.vms);
            timeline.at(when, [stop, vm] { stop(vm); });
            timeline.at(when + scenario.restartTime, [restart, vm] { restart(vm); });
        }
    }
}

MicroTokens Fleet::tokensOverRate(size_t organisation) const
{
    std::vector<const Request *> admitted;
    for (const Request &request : requests) {
        if (request.organisation == organisation && request.admitted) {
            admitted.push_back(&request);
        }
    }
    std::stable_sort(admitted.begin(), admitted.end(),
                     [](const Request *left, const Request *right) {
                         return left->admittedAt < right->admittedAt;
                     });
    const Limits &limits = scenario.organisations[organisation].limits;
    MicroTokens debt = 0;
    MicroTokens over = 0;
    Instant last{};
    for (const Request *request : admitted) {
        const MicroTokens growth = allowance::accruedTokens(limits, allowance::wholeShare,
                                                            request->admittedAt - last);
        debt = std::max<MicroTokens>(0, debt - growth) + request->cost - request->unused;
        over = std::max(over, debt - limits.burst);
        last = request->admittedAt;
    }
    return over;
}

double Fleet::tokensOverRate() const
{
    MicroTokens over = 0;
    for (size_t i = 0; i < scenario.organisations.size(); ++i) {
        over = std::max(over, tokensOverRate(i));
    }
    return static_cast<double>(over) / allowance::microTokensPerToken;
}

/// Whether a request counts: it was decided, and arrived in the measured time.
bool Fleet::isMeasured(const Request &request) const
{
    const Instant origin{};
    return request.reached && request.decided && request.arrival >= origin + scenario.measureFrom
           && request.arrival < origin + scenario.measureTo;
}

double Fleet::refusalsWithinRate() const
{
    uint64_t measured = 0;
    uint64_t within = 0;
    for (const Request &request : requests) {
        measured += isMeasured(request) ? 1 : 0;
        within += isMeasured(request) && request.fitsRate && !request.admitted ? 1 : 0;
    }
    return percentage(within, measured);
}

void Fleet::print(const std::string &policy) const
{
    uint64_t measuredRequests = 0;
    uint64_t wrongful = 0;
    uint64_t othersMeasured = 0;
    uint64_t othersWrongful = 0;
    uint64_t refused = 0;
    MicroTokens admittedTokens = 0;
    MicroTokens idealTokens = 0;
    for (const Request &request : requests) {
        if (!isMeasured(request)) {
            continue;
        }
        const bool isWrongful = request.admittedIdeally && !request.admitted;
        const MicroTokens net = request.cost - request.unused;
        ++measuredRequests;
        refused += request.admitted ? 0 : 1;
        wrongful += isWrongful ? 1 : 0;
        admittedTokens += request.admitted ? net : 0;
        idealTokens += request.admittedIdeally ? net : 0;
        if (request.organisation != 0) {
            ++othersMeasured;
            othersWrongful += isWrongful ? 1 : 0;
        }
    }
    const double seconds = toSeconds(scenario.length);
    const double vms = static_cast<double>(scenario.vms);
    const auto row = [&](std::string_view metric, double value, std::string_view unit) {
        std::cout << scenario.name << "," << policy << "," << metric << "," << value << "," << unit
                  << "\n";
    };
    std::cout << std::setprecision(6);
    row("wrongful_refusals", percentage(wrongful, measuredRequests), "%");
    row("wrongful_refusals_count", static_cast<double>(wrongful), "requests");
    row("wrongful_refusals_other_organisations", percentage(othersWrongful, othersMeasured), "%");
    row("refusals_within_rate", refusalsWithinRate(), "%");
    row("refusals", percentage(refused, measuredRequests), "%");
    row("admitted_tokens_of_ideal",
        100.0 * static_cast<double>(admittedTokens) / static_cast<double>(idealTokens), "%");
    row("over_rate_tokens", tokensOverRate(), "tokens");
    row("messages_per_s", static_cast<double>(cost.messages) / seconds / vms, "1/s per VM");
    row("message_bytes_per_s", static_cast<double>(cost.bytes) / seconds / vms, "B/s per VM");
    row("store_calls_per_s", static_cast<double>(cost.storeCalls) / seconds, "1/s");
}

} // namespace teaseldrift::rates
