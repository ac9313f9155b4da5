/// Targets that fail for a while, as the VMs of a fleet see them. No network.

#include "teaseldrift/targets/target_selector.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "teaseldrift/base/rendezvous.hpp"

namespace teaseldrift {

namespace {

using FractionalTime = std::chrono::duration<double, Duration::period>;

constexpr Duration step = 10ms;
const Instant start(100s);

/// Each VM's selector sends requests at an even rate to four targets that respond at once, but for
/// the first, which resets its connections until a certain time.
class RecoverySimulation
{
public:
    RecoverySimulation(size_t vms, double requestsPerSecond, Duration brokenTime)
        : m_interval(Duration(std::chrono::seconds(1)) / requestsPerSecond),
          m_brokenUntil(start + brokenTime)
    {
        for (size_t i = 0; i < targets; ++i) {
            m_directory.put({.id = "t" + std::to_string(i),
                             .service = "s",
                             .address = "10.0.0." + std::to_string(i) + ":80",
                             .availabilityZone = "z",
                             .startedAtMs = 1});
        }
        for (size_t i = 0; i < vms; ++i) {
            const std::string id = "vm-" + std::to_string(i);
            m_vms.push_back(std::make_unique<TargetSelector>(TargetSelectorOptions{
                    .availabilityZone = "z",
                    .health = {.isTriedByRequests = true, .spreadKey = rendezvousKey(id)}}));
            m_vms.back()->health().setSenders(vms);
            for (const std::pair<const std::string, TargetEntry> &target : m_directory.all()) {
                m_vms.back()->update(target.second, TargetChange::Added, start);
            }
        }
    }

    void run(Duration duration)
    {
        const Instant end = m_now + duration;
        for (; m_now < end; m_now += step) {
            for (size_t vm = 0; vm < m_vms.size(); ++vm) {
                // The VMs' requests do not come at the same moment.
                const FractionalTime phase
                        = m_interval * static_cast<double>(vm) / static_cast<double>(m_vms.size());
                const auto sentAt = [&](Instant at) {
                    return static_cast<int64_t>((Duration(at - start) + phase) / m_interval);
                };
                for (int64_t i = sentAt(m_now); i < sentAt(m_now + step); ++i) {
                    send(*m_vms[vm]);
                }
            }
        }
    }

    /// @brief Requests that a target was sent from one time on until another.
    [[nodiscard]] double sent(size_t target, Duration from, Duration to) const
    {
        const std::map<Duration, int> &counts = m_sent.at(target);
        double sum = 0.0;
        for (auto it = counts.lower_bound(from); it != counts.end() && it->first < to; ++it) {
            sum += it->second;
        }
        return sum;
    }

    static constexpr size_t targets = 4;

private:
    void send(TargetSelector &vm)
    {
        std::vector<std::string> excluded;
        for (size_t attempt = 0; attempt < 2; ++attempt) {
            std::optional<TargetChoice> choice
                    = vm.choose(m_directory,
                                {.service = "s",
                                 .excluded = excluded,
                                 .seed = rendezvousKey(std::to_string(++m_lastRequest))},
                                m_now);
            REQUIRE(choice);
            vm.sent(*choice, m_now);
            const size_t target = static_cast<size_t>(choice->id[1] - '0');
            ++m_sent[target][m_now - start];
            vm.ended(*choice, false);
            const bool isBroken = target == 0 && m_now < m_brokenUntil;
            vm.health().report(choice->id,
                               isBroken ? HealthObservation::ConnectionBroken
                                        : HealthObservation::Responded,
                               m_now);
            if (!isBroken) {
                return;
            }
            excluded.push_back(choice->id);
        }
    }

    FractionalTime m_interval;
    Instant m_brokenUntil;
    Instant m_now = start;
    TargetDirectory m_directory;
    std::vector<std::unique_ptr<TargetSelector>> m_vms;
    std::map<size_t, std::map<Duration, int>> m_sent;
    uint64_t m_lastRequest = 0;
};

} // namespace

// Guards against a target that a VM never uses again after three failures in a row.
TEST_CASE("a target that resets its connections for a second gets its share again")
{
    const size_t vms = GENERATE(1, 7, 84, 195);
    RecoverySimulation simulation(vms, 9.0 * (vms == 1 ? 7 : 1), 1s);
    simulation.run(21s);
    double others = 0.0;
    for (size_t target = 1; target < RecoverySimulation::targets; ++target) {
        others += simulation.sent(target, 1s, 21s) / (RecoverySimulation::targets - 1);
    }
    CAPTURE(vms, others, simulation.sent(0, 1s, 21s));
    CHECK(simulation.sent(0, 1s, 21s) >= 0.9 * others);
}

// Guards against VMs that all try a broken target at the same moment, or once a second each.
TEST_CASE("what a target that is still broken gets is bounded for any number of VMs")
{
    const size_t vms = GENERATE(7, 84, 195);
    RecoverySimulation simulation(vms, 9.0, 60s);
    simulation.run(60s);
    // By then each VM has seen the three failures.
    constexpr Duration opened = 1900ms;
    double most = 0.0;
    for (Duration from = opened; from < 59s; from += 100ms) {
        most = std::max(most, simulation.sent(0, from, from + 1s));
    }
    CAPTURE(vms, most, simulation.sent(0, 30s, 60s));
    CHECK(most <= 90.0);
    CHECK(most <= static_cast<double>(2 * vms));
    // Later on, each VM tries about twice a minute.
    CHECK(simulation.sent(0, 30s, 60s) <= 2.0 * static_cast<double>(vms));
}

} // namespace teaseldrift
