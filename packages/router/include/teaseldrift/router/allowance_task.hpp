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

/// @brief Tokens that a request needs from its organisation's rate limit.
struct AdmissionRequest
{
    std::string organisation;
    double tokens = 0.0;
};

/// @brief Whether a request is within its organisation's rate limit.
struct AdmissionDecision
{
    /// OK if the request is admitted.
    schema::ResultCode code = schema::OK;
    std::optional<Duration> retryAfter;
    /// Proof of admission, for refund().
    allowance::Ticket ticket;
};

/// @brief Runs this VM's AllowanceManager: stores its division records and exchanges its messages
/// with the other VMs.
class AllowanceTask
{
public:
    AllowanceTask(http::EventLoop &loop, store::EtcdStore &store, fleet::PeerNetwork &peers,
                  allowance::ProcessIdentity self, std::string storePrefix);
    ~AllowanceTask();
    AllowanceTask(const AllowanceTask &) = delete;
    AllowanceTask &operator=(const AllowanceTask &) = delete;

    /// @brief Replaces the organisations' rate limits.
    void configure(const schema::Configuration &configuration);

    /// @brief Sets a limit that is not part of the configuration.
    /// @param name differs from the names of all organisations; stands for `organisation` in
    /// admit() and refund()
    void setLimit(const std::string &name, const allowance::Limits &limits);

    /// @brief Removes a limit set by setLimit().
    void removeLimit(const std::string &name);

    /// @brief Replaces the VMs of the platform's list, which include this VM.
    /// @param age time since the read of the list began
    void setVms(std::span<const homes::VmView> vms, Duration age);

    /// @brief Requests the admission of a request.
    /// @param done called once; from within admit() if this VM can decide at once
    void admit(const AdmissionRequest &request,
               std::function<void(const AdmissionDecision &)> done);

    /// @brief Returns tokens that an admitted request did not use; at most once per request.
    void refund(const std::string &organisation, const allowance::Ticket &ticket, double tokens);

    /// @brief Lends the entire allowances to the other homes, before the process exits.
    void drain();

    /// @brief Messages of other VMs that contradicted this VM's state and were refused.
    [[nodiscard]] uint64_t refusedMessages() const;

    /// @brief Returns the state of all organisations as JSON, for /admin/status.
    [[nodiscard]] std::string statusJson() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
