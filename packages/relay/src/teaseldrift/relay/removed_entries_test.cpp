#include <catch2/catch.hpp>

#include "teaseldrift/relay/removed_entries.hpp"

namespace teaseldrift::relay {

// Guards against a VM that is alive and missing from the list: it left, joined again, and wrote its
// entry once more after the store had returned from an older copy, with a smaller revision.
TEST_CASE("an entry that was written again is not passed over after the store's return")
{
    const Instant now = Instant() + 100s;
    const store::StoreEntry copy{.key = "vms/3", .value = "vm-3", .revision = 105};
    RemovedEntries removed;
    removed.add("vms/3", 480, now);
    removed.storeRestored(120, now + 1s);
    CHECK(removed.isOutdated(copy, now + 1s));
    removed.erase("vms/3");
    CHECK_FALSE(removed.isOutdated(copy, now + 1s));
}

} // namespace teaseldrift::relay
