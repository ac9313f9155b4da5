#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "teaseldrift/allowance/allowance_manager.hpp"
#include "teaseldrift/base/time.hpp"
#include "teaseldrift/homes/home_set.hpp"
#include "teaseldrift/schema/configuration.pb.h"
#include "teaseldrift/schema/result_code.pb.h"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::store {
class EtcdStore;
}

namespace teaseldrift::fleet {
class PeerNetwork;
}

namespace teaseldrift::router {

/// @brief Tokens that a request needs of its organisation's rate.
struct AdmissionRequest
{
    std::string organisation;
    double tokens = 0.0;
};

/// @brief Whether a request is within its organisation's rate.
struct AdmissionDecision
{
    /// OK if it is admitted.
    schema::ResultCode code = schema::OK;
    std::optional<Duration> retryAfter;
    /// Names an admitted request in refund().
    allowance::Ticket ticket;
};

/// @brief The allowances of all organisations on this VM: an AllowanceManager with the store for
/// its division records and the peer network for its messages.
class AllowanceTask
{
public:
    AllowanceTask(http::EventLoop &loop, store::EtcdStore &store, fleet::PeerNetwork &peers,
                  allowance::ProcessIdentity self, std::string storePrefix);
    ~AllowanceTask();
    AllowanceTask(const AllowanceTask &) = delete;
    AllowanceTask &operator=(const AllowanceTask &) = delete;

    /// @brief Takes over the organisations' limits.
    void configure(const schema::Configuration &configuration);

    /// @brief Takes over a newer view of the platform's list, with this VM in it.
    /// @param age time since the read of the list was started
    void setVms(std::span<const homes::VmView> vms, Duration age);

    /// @brief Asks for tokens.
    /// @param done called once, at once if this VM's own part holds the tokens
    void admit(const AdmissionRequest &request,
               std::function<void(const AdmissionDecision &)> done);

    /// @brief Returns tokens that an admitted request did not use; once for a request.
    void refund(const std::string &organisation, const allowance::Ticket &ticket, double tokens);

    /// @brief Lends everything to the other homes, before the process stops.
    void drain();

    /// @brief State of all organisations as JSON, for /admin/status.
    [[nodiscard]] std::string statusJson() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
