#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "teaseldrift/allowance/options.hpp"
#include "teaseldrift/allowance/peer.hpp"
#include "teaseldrift/allowance/tokens.hpp"
#include "teaseldrift/allowance/types.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"
#include "teaseldrift/schema/allowance.pb.h"

namespace teaseldrift::allowance {

/// @brief Manages the allowances of all organisations on one VM.
///
/// Guarantees that the net tokens admitted for an organisation by all VMs in any time window never
/// exceed its burst plus its rate times the window. Instants must come from a local monotonic clock
/// that may stop but never runs fast. docs/design/allowance.md describes the protocol and its
/// proof.
///
/// ```cpp
/// AllowanceManager manager({.vm = "vm-1", .incarnation = 7});
/// manager.setVms(vms, now);
/// manager.configure("kinloch-baird", limitsFromTokens(2000, 20000), now);
/// Decision decision = manager.admit("kinloch-baird", 512 * microTokensPerToken, now);
/// Actions actions = manager.takeActions(); // after every call: carry these out
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

    /// @brief Removes an organisation and refuses its pending requests.
    void remove(std::string_view organisation, Instant now);

    /// @brief Updates the platform's VM list, which must contain this VM.
    ///
    /// Snapshots must be passed in the order in which they were read. A VM that has been removed
    /// from the list must be unable to run, and its id must not be reused.
    /// @param age time since the read of the list started; this VM may have been paused meanwhile
    void setVms(std::span<const homes::VmView> vms, Instant now, Duration age = Duration{0});

    /// @brief Requests the tokens that a request costs.
    Decision admit(std::string_view organisation, MicroTokens cost, Instant now);

    /// @brief Returns the tokens that an admitted request did not use. Call at most once per
    /// request.
    void refund(std::string_view organisation, const Ticket &ticket, MicroTokens unused,
                Instant now);

    /// @brief Drops a pending request whose caller has disconnected.
    void cancel(std::string_view organisation, uint64_t requestId);

    void onMessage(std::string_view fromVm, const schema::AllowanceMessage &message, Instant now);
    void onRead(std::string_view organisation, const RecordReadResult &state, Instant now);
    void onWrite(std::string_view organisation, RecordWriteOutcome outcome, Instant now);

    /// @brief Performs due timeouts and periodic work. Call it every Options::tickInterval.
    void tick(Instant now);

    /// @brief Returns and clears the actions requested by the calls since the last takeActions().
    Actions takeActions();

    /// @brief Transfers all share and tokens to the other members before the process stops.
    void drain(Instant now);

    /// @brief This VM's current share of an organisation's bucket.
    [[nodiscard]] ShareUnits share(std::string_view organisation) const;
    /// @brief Tokens that this VM can admit without asking other VMs.
    [[nodiscard]] MicroTokens level(std::string_view organisation, Instant now) const;
    /// @brief Ids of the VMs that share the organisation's bucket, as far as this VM knows.
    [[nodiscard]] std::vector<std::string> members(std::string_view organisation) const;
    /// @brief Record and accounts of an organisation on this VM; empty for an unknown one.
    [[nodiscard]] DivisionState divisionState(std::string_view organisation) const;
    /// @brief Messages refused because they contradict this VM's state.
    [[nodiscard]] uint64_t refusedMessages() const;
    [[nodiscard]] size_t organisations() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::allowance
