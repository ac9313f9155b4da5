#include "process_limits.hpp"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace teaseldrift::router {

namespace {

/// @return the memory of the machine, or of the process's control group if that is less
size_t availableMemory()
{
    size_t bytes = static_cast<size_t>(::sysconf(_SC_PHYS_PAGES))
                   * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
    std::ifstream group("/sys/fs/cgroup/memory.max");
    uint64_t limit = 0;
    // The file holds "max" if there is no limit.
    if (group >> limit) {
        bytes = std::min<size_t>(bytes, limit);
    }
    return bytes;
}

} // namespace

ProcessResources processResources(const schema::RouterSettings &settings)
{
    constexpr size_t bytesPerMiB = 1U << 20U;
    rlimit limit{};
    const size_t systemLimit = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : 0;
    return {.memoryBytes
            = settings.memory_mb() == 0 ? availableMemory() : settings.memory_mb() * bytesPerMiB,
            .descriptors = settings.max_descriptors() == 0
                                   ? systemLimit
                                   : std::min<size_t>(systemLimit, settings.max_descriptors())};
}

http::ConnectionLimits connectionLimits(const schema::RouterSettings &settings,
                                        const ProcessResources &resources)
{
    constexpr size_t incompletePart = 10;
    constexpr size_t handledPart = 5;
    const size_t largest = settings.max_body_bytes();
    return {.incompleteBytes = std::max(resources.memoryBytes / incompletePart, 2 * largest),
            .handledBytes
            = std::max(resources.memoryBytes / handledPart,
                       (callerBodyCopies + 1) * largest + http::ConnectionLimits{}.headBytes)};
}

size_t maxCallerConnections(const ProcessResources &resources)
{
    constexpr size_t filesAndOthers = 200;
    constexpr size_t least = 8;
    constexpr double callersPart = 0.6;
    const size_t free = resources.descriptors - std::min(resources.descriptors, filesAndOthers);
    return std::max(least, static_cast<size_t>(static_cast<double>(free) * callersPart));
}

} // namespace teaseldrift::router
