#pragma once

#include <functional>
#include <memory>
#include <string>

#include "teaseldrift/idempotency/claim_types.hpp"
#include "teaseldrift/store/etcd_store.hpp"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::router {

/// @brief Result of a claim.
struct ClaimResult
{
    ClaimDecision decision = ClaimDecision::Refused;
    schema::ResultCode code = schema::OK;
    schema::KeptAnswer response;
    Instant sendDeadline{};
};

/// @brief Runs a ClaimTable, which claims idempotency keys, on the platform's store.
class ClaimTask
{
public:
    ClaimTask(http::EventLoop &loop, store::EtcdStore &store, std::string storePrefix);
    ~ClaimTask();
    ClaimTask(const ClaimTask &) = delete;
    ClaimTask &operator=(const ClaimTask &) = delete;

    /// @brief Claims a key.
    /// @param done called once, with the decision
    void claim(const ClaimRequest &request, std::function<void(const ClaimResult &)> done);

    /// @brief Records the outcome of a request whose claim was granted.
    void complete(const std::string &claimId, ClaimOutcome outcome,
                  const schema::KeptAnswer &response);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
