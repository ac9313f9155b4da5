/// Measures wrongful refusals, tokens over the rate and coordination traffic of policies that
/// divide an organisation's rate among VMs.

#include "policies.hpp"

namespace {

using namespace teaseldrift::rates;

template <typename Policy>
void measure(const Scenario &scenario, const std::string &name)
{
    Timeline timeline;
    Fleet fleet(timeline, scenario);
    Policy policy(fleet);
    fleet.run(policy);
    fleet.print(name);
}

} // namespace

int main()
{
    for (const Scenario &scenario : scenarios()) {
        measure<StaticEqual>(scenario, "static-equal");
        measure<OneAuthority>(scenario, "one-authority");
        measure<LeasesOnly>(scenario, "leases-only");
        measure<Teaseldrift>(scenario, "teaseldrift");
    }
    return 0;
}
