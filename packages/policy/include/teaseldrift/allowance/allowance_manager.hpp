#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/allowance/options.hpp"
#include "teaseldrift/allowance/tokens.hpp"
#include "teaseldrift/allowance/types.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"
#include "teaseldrift/schema/allowance.pb.h"

namespace teaseldrift::allowance {

/// @brief The allowances of all organisations on one VM.
///
/// Over all VMs, the net tokens admitted for an organisation in any window of time never exceed
/// its burst plus its rate times the window. Instants come from a local monotonic clock that may
/// stop but never runs fast. docs/design/allowance.md holds the protocol and its proof.
///
/// ```cpp
/// AllowanceManager manager({.vm = "vm-1", .incarnation = 7});
/// manager.setVms(vms, now);
/// manager.configure("kinloch-baird", limitsFromTokens(2000, 20000), now);
/// Decision decision = manager.admit("kinloch-baird", 512 * microTokensPerToken, now);
/// Actions actions = manager.takeActions(); // after every call: send, read, write, decide
/// manager.refund("kinloch-baird", decision.ticket, 100 * microTokensPerToken, now);
/// ```
class AllowanceManager
{
public:
    explicit AllowanceManager(ProcessIdentity self, Options options = {});
    ~AllowanceManager();
    AllowanceManager(AllowanceManager &&) noexcept;
    AllowanceManager &operator=(AllowanceManager &&) noexcept;

    /// @brief Adds an organisation or changes its limits.
    void configure(std::string_view organisation, const Limits &limits, Instant now);

    /// @brief Forgets an organisation; what it pends is refused.
    void remove(std::string_view organisation, Instant now);

    /// @brief Takes a newer view of the platform's list, with this VM in it.
    ///
    /// Views must not go back in time. A VM that has left the list must be unable to run, and its
    /// id must not come back.
    /// @param age time since the read of the list was started, in which this VM may have paused
    void setVms(std::span<const homes::VmView> vms, Instant now, Duration age = Duration{0});

    /// @brief Asks for the tokens of a request.
    Decision admit(std::string_view organisation, MicroTokens cost, Instant now);

    /// @brief Returns tokens that an admitted request did not use. Call it once for a request.
    void refund(std::string_view organisation, const Ticket &ticket, MicroTokens unused,
                Instant now);

    /// @brief The caller of a pending question has gone.
    void cancel(std::string_view organisation, uint64_t requestId);

    void onMessage(std::string_view fromVm, const schema::AllowanceMessage &message, Instant now);
    void onRead(std::string_view organisation, const RecordReadResult &state, Instant now);
    void onWrite(std::string_view organisation, RecordWriteOutcome outcome, Instant now);

    /// @brief Does what is due; call it every Options::tickInterval.
    void tick(Instant now);

    /// @brief Hands out what the calls since the last one want done.
    Actions takeActions();

    /// @brief Lends everything to the other homes, before the process stops.
    void drain(Instant now);

    /// @brief This VM's part of an organisation's bucket now.
    [[nodiscard]] ShareUnits share(std::string_view organisation) const;
    /// @brief Tokens that this VM could admit at once.
    [[nodiscard]] MicroTokens level(std::string_view organisation, Instant now) const;
    /// @brief VMs among which an organisation is divided, as far as known here.
    [[nodiscard]] std::vector<std::string> members(std::string_view organisation) const;
    [[nodiscard]] size_t organisations() const;

private:
    struct Native;
    std::unique_ptr<Native> m_native;
};

} // namespace teaseldrift::allowance
