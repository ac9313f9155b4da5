#include "fleet.hpp"

namespace teaseldrift::rates {

namespace {

std::vector<Organisation> fiveOrganisations()
{
    constexpr double burstSeconds = 5.0;
    const std::vector<double> rates{40000, 20000, 10000, 5000, 3000};
    std::vector<Organisation> organisations;
    for (const double rate : rates) {
        organisations.push_back({.name = "organisation-" + std::to_string(organisations.size()),
                                 .limits = allowance::limitsFromTokens(rate, rate * burstSeconds)});
    }
    return organisations;
}

} // namespace

std::vector<Scenario> scenarios()
{
    const Scenario even{.name = "rates-even",
                        .organisations = fiveOrganisations(),
                        .length = 1500s,
                        .measureTo = 1500s};
    std::vector<Scenario> all{even};

    Scenario skewed = even;
    skewed.name = "rates-skewed";
    skewed.hotHomeFraction = 0.9;
    all.push_back(skewed);

    Scenario staleEntries = even;
    staleEntries.name = "rates-stale-entry";
    staleEntries.staleEntryFraction = 0.3;
    all.push_back(staleEntries);

    Scenario lost = even;
    lost.name = "rates-vm-lost";
    lost.length = 300s;
    lost.loseVmAt = 100s;
    lost.measureFrom = 100s;
    lost.measureTo = 160s;
    all.push_back(lost);

    Scenario store = skewed;
    store.name = "rates-store-down-10min";
    store.length = 720s;
    store.storeDownFrom = 60s;
    store.storeDownTo = 660s;
    store.restartOneAt = 200s;
    store.measureTo = 660s;
    all.push_back(store);

    Scenario herd = even;
    herd.name = "rates-herd-restart";
    herd.length = 300s;
    herd.restartAllFrom = 100s;
    herd.measureFrom = 100s;
    herd.measureTo = 200s;
    all.push_back(herd);

    Scenario flood = even;
    flood.name = "rates-one-at-5x";
    flood.length = 300s;
    flood.measureTo = 300s;
    flood.organisations.front().load *= 5.0;
    all.push_back(flood);
    return all;
}

} // namespace teaseldrift::rates
