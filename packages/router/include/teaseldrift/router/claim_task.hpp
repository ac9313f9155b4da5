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

/// @brief What a claim came to.
struct ClaimAnswer
{
    ClaimDecision verdict = ClaimDecision::Refused;
    schema::ResultCode code = schema::OK;
    schema::KeptAnswer answer;
    Instant sendDeadline{};
};

/// @brief Claims idempotency keys in the platform's store, through a ClaimTable.
class ClaimTask
{
public:
    ClaimTask(http::EventLoop &loop, store::EtcdStore &store, std::string storePrefix);
    ~ClaimTask();
    ClaimTask(const ClaimTask &) = delete;
    ClaimTask &operator=(const ClaimTask &) = delete;

    /// @brief Claims a key; `done` is called once.
    void claim(const ClaimRequest &request, std::function<void(const ClaimAnswer &)> done);

    /// @brief Records the outcome of a granted request.
    void end(const std::string &claimId, ClaimOutcome end, const schema::KeptAnswer &answer);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace teaseldrift::router
