#pragma once

#include <functional>
#include <optional>

#include "teaseldrift/relay/target_permits.hpp"
#include "teaseldrift/relay/weight_rollout_task.hpp"

namespace teaseldrift::relay {

/// @brief Sends orders and report requests within the limits that targets name.
template <OrderChannel Channel>
class PermittedOrderChannel
{
public:
    using ReportHandler = std::function<void(std::optional<WeightsReport>, const TargetNotice &)>;
    using OrderHandler = std::function<void(WeightOrderOutcome, const TargetNotice &)>;

    PermittedOrderChannel(http::EventLoop &loop, Channel &channel, TargetPermits &permits)
        : m_loop(loop), m_channel(channel), m_permits(permits)
    { }

    void requestReport(const WeightsOrder &order, const ReportHandler &handler)
    {
        send(
                order, [this, order, handler] { m_channel.requestReport(order, handler); },
                [handler] { handler(std::nullopt, {}); });
    }

    /// @brief An order follows a report that has waited for a permit. It is sent at once, since its
    /// sender may not hold its lease any more after a wait.
    void sendOrder(const WeightsOrder &order, const OrderHandler &handler)
    {
        const TargetLimitKey target = limitKeyOf(order.target, order.startedAtMs);
        if (m_permits.hasRate(target)) {
            m_permits.acquireRate(target, maxWait, [](const PermitDecision &) {});
        }
        m_channel.sendOrder(order, handler);
    }

private:
    /// Longer than a load of weights may be delayed by the requests before it.
    static constexpr Duration maxWait = 2s;

    void send(const WeightsOrder &order, const std::function<void()> &onPermitted,
              const std::function<void()> &onRefused)
    {
        const TargetLimitKey target = limitKeyOf(order.target, order.startedAtMs);
        if (!m_permits.hasRate(target)) {
            onPermitted();
            return;
        }
        m_permits.acquireRate(target, maxWait,
                              [this, onPermitted, onRefused](const PermitDecision &decision) {
                                  if (!decision.permit) {
                                      // Not within the call: the sender plans again when it ends.
                                      m_loop.post(onRefused);
                                  } else if (decision.wait > Duration(0)) {
                                      m_loop.startTimer(decision.wait, onPermitted);
                                  } else {
                                      onPermitted();
                                  }
                              });
    }

    http::EventLoop &m_loop;
    Channel &m_channel;
    TargetPermits &m_permits;
};

} // namespace teaseldrift::relay
