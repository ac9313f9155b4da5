#pragma once

#include <array>
#include <concepts>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/orders/controller_lease.hpp"
#include "teaseldrift/relay/fleet_state.hpp"
#include "teaseldrift/relay/prefix_watcher.hpp"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::relay {

/// @brief State that a target reports before it receives an order.
struct WeightsReport
{
    uint64_t version = 0;
    /// Number of orders that the target has accepted. The next order states it as a precondition,
    /// so that a delayed order has no effect.
    uint64_t ordersAccepted = 0;
    bool isBusy = false;
};

/// @brief An order to load weights.
struct WeightsOrder
{
    std::string target;
    std::string address;
    /// Incarnation of the target.
    uint64_t startedAtMs = 0;
    std::string model;
    uint64_t version = 0;
    std::string controller;
    uint64_t fencing = 0;
    uint64_t ordersAccepted = 0;
};

/// @brief Sends orders and report requests to targets.
template <typename C>
concept OrderChannel
        = requires(C &channel, const WeightsOrder &order,
                   std::function<void(std::optional<WeightsReport>, const TargetNotice &)> onReport,
                   std::function<void(WeightOrderOutcome, const TargetNotice &)> onEnd)
{
    channel.requestReport(order, onReport);
    channel.sendOrder(order, onEnd);
};

/// @brief Competes for the controller lease and rolls out new weights while it holds the lease.
template <store::LongPollStore Store, OrderChannel Channel>
class WeightRolloutTask
{
public:
    struct Options
    {
        std::string key = "teaseldrift/controller";
        OrderOptions orders{.leaseTtl = 3s, .maxOrderLifetime = 1s};
        Duration tick = 100ms;
        /// Delay between the attempts of two VMs to acquire the lease: covers one store call and
        /// the notification of its effect.
        Duration acquireStagger = 30ms;
        /// Period over which the attempts are spread while a VM has not read the list of VMs.
        Duration startupAcquireSpread = 500ms;
        /// In larger fleets only the first VMs in rendezvous order compete for the lease, as each
        /// competitor watches the key.
        size_t maxCompetitors = 8;
        /// Interval at which a VM checks whether it is one of them.
        Duration competeInterval = 500ms;
        /// Time after which a VM competes although it has not read the list of VMs.
        Duration listTimeout = 2s;
        /// Longest time that a call waits for a change of the controller's key.
        Duration watchTimeout = 20s;
        /// Time after that in which the call's response must have arrived.
        Duration watchResponseTime = 2s;
    };

    WeightRolloutTask(http::EventLoop &loop, Store &store, Channel &channel, FleetState &fleet,
                      telemetry::EventLog &log, Options options = {})
        : m_loop(loop), m_store(store), m_channel(channel), m_fleet(fleet), m_log(log),
          m_options(std::move(options)), m_lease(m_options.orders),
          m_watcher(loop, store,
                    {.prefix = m_options.key,
                     .wait = m_options.watchTimeout,
                     .retryDelayFactor = spreadFactor(fleet.options().vmId),
                     .maxAge = m_options.watchTimeout + m_options.watchResponseTime},
                    watchHandlers())
    { }

    ~WeightRolloutTask() { m_loop.cancelTimer(m_timer); }
    WeightRolloutTask(const WeightRolloutTask &) = delete;
    WeightRolloutTask &operator=(const WeightRolloutTask &) = delete;

    void start()
    {
        m_startedAt = http::EventLoop::now();
        tick();
    }

    /// @brief Stops issuing orders and releases the lease so that another VM can take over.
    void stop()
    {
        m_isStopped = true;
        if (m_lease.isHeld(http::EventLoop::now())) {
            m_store.revokeLease(m_leaseId);
            loseLease(http::EventLoop::now());
        }
    }

    /// @brief Handles the return of the store from an older copy, in which this VM's lease may be
    /// missing: gives the lease up and competes for it again.
    void storeRestored()
    {
        const Instant now = http::EventLoop::now();
        if (m_lease.isHeld(now)) {
            m_store.revokeLease(m_leaseId);
            loseLease(now);
        }
        m_lease.storeRestored(now);
    }

    /// @brief Plans the rollouts now instead of at the next tick.
    void plan()
    {
        const Instant now = http::EventLoop::now();
        if (m_isStopped || !m_lease.mayIssueOrders(now)) {
            return;
        }
        for (const std::pair<const std::string, uint64_t> &desired :
             m_fleet.weightRollout().desiredVersions()) {
            planModel(desired.first, now);
        }
    }

private:
    /// Starts the watch of the key once this VM is one of the competitors.
    void compete()
    {
        const bool hasList = m_fleet.hasVmList();
        const bool isTimedOut = http::EventLoop::now() - m_startedAt >= m_options.listTimeout;
        m_isCompetitor = hasList ? m_fleet.isAmongFirst(m_options.key, m_options.maxCompetitors)
                                 : isTimedOut;
        if (m_isCompetitor && !m_isWatching) {
            m_isWatching = true;
            m_watcher.start();
        }
    }

    void tick()
    {
        if (http::EventLoop::now() >= m_competeAt) {
            m_competeAt = http::EventLoop::now() + m_options.competeInterval;
            compete();
        }
        if (!m_isStopped && !m_isCallPending) {
            const LeaseAction action = m_lease.nextAction(http::EventLoop::now());
            if (action == LeaseAction::Acquire) {
                acquire();
            } else if (action == LeaseAction::Renew) {
                renew();
            }
        }
        plan();
        m_timer = m_loop.startTimer(m_options.tick, [this] { tick(); });
    }

    PrefixWatcherHandlers watchHandlers()
    {
        const auto applyChanges = [this](const store::StoreSnapshot &snapshot) {
            for (const store::StoreEntry &entry : snapshot.entries) {
                setKeyFree(entry.deleted);
            }
        };
        return {.onSnapshot =
                        [this](const store::StoreSnapshot &snapshot) {
                            setKeyFree(snapshot.entries.empty());
                        },
                .onChanges = applyChanges,
                .onDisconnected = [](std::error_code) {},
                .onReconnected = [] {}};
    }

    void setKeyFree(bool isFree)
    {
        if (isFree && !m_isKeyFree) {
            m_acquireAt = http::EventLoop::now() + acquireDelay();
        }
        m_isKeyFree = isFree;
    }

    /// VMs try to acquire the lease one after another, since each attempt is a billed store call
    /// and one suffices.
    [[nodiscard]] Duration acquireDelay() const
    {
        if (m_fleet.hasVmList()) {
            return m_options.acquireStagger * static_cast<int64_t>(m_fleet.rank());
        }
        return m_options.startupAcquireSpread * (rendezvousKey(m_fleet.options().vmId) % 1000)
               / 1000;
    }

    void acquire()
    {
        if (!m_isCompetitor || !m_isKeyFree || !m_watcher.isConnected()
            || http::EventLoop::now() < m_acquireAt) {
            m_lease.retryLater(http::EventLoop::now(), m_options.tick);
            return;
        }
        m_isCallPending = true;
        const Instant sentAt = http::EventLoop::now();
        m_store.grantLease(m_options.orders.leaseTtl,
                           [this, sentAt](std::error_code error, uint64_t lease) {
                               if (error) {
                                   m_isCallPending = false;
                                   m_lease.retryLater(http::EventLoop::now());
                                   return;
                               }
                               m_leaseId = lease;
                               writeKey(sentAt);
                           });
    }

    void writeKey(Instant sentAt)
    {
        const std::array<store::StoreWrite, 1> writes{
                store::StoreWrite{.key = m_options.key,
                                  .value = m_fleet.options().vmId,
                                  .expectedRevision = 0,
                                  .lease = m_leaseId}};
        m_store.write(writes, [this, sentAt](store::StoreWriteResult result) {
            m_isCallPending = false;
            const Instant now = http::EventLoop::now();
            if (result.outcome != store::StoreOutcome::Written) {
                m_isKeyFree = m_isKeyFree && result.outcome != store::StoreOutcome::Conflict;
                // If the response was lost, the key may be held under this lease, which expires
                // because it is not renewed.
                m_lease.lost(now);
                return;
            }
            const uint64_t fencing = fencingToken(result.epoch, result.revision);
            m_lease.acquired(sentAt, fencing, now);
            m_fleet.weightRollout().reset();
            m_log.write(telemetry::EventPriority::Important, "controller_acquired",
                        {{"fencing", static_cast<int64_t>(fencing)}});
        });
    }

    void renew()
    {
        m_isCallPending = true;
        const Instant sentAt = http::EventLoop::now();
        m_store.renewLease(m_leaseId, [this, sentAt](std::error_code error) {
            m_isCallPending = false;
            if (!error) {
                m_lease.renewed(sentAt);
                return;
            }
            const Instant now = http::EventLoop::now();
            if (error == store::StoreError::LeaseExpired) {
                loseLease(now);
                return;
            }
            m_lease.retryLater(now);
            if (!m_lease.isHeld(now)) {
                loseLease(now);
            }
        });
    }

    void loseLease(Instant now)
    {
        m_lease.lost(now);
        m_log.write(telemetry::EventPriority::Important, "controller_lost", {});
    }

    void planModel(const std::string &model, Instant now)
    {
        std::vector<WeightTarget> targets;
        for (const std::pair<const std::string, TargetEntry> &entry : m_fleet.directory().all()) {
            const auto weights = entry.second.weights.find(model);
            if (!entry.second.isLeaving && weights != entry.second.weights.end()) {
                targets.push_back(
                        {.id = entry.first,
                         .version = weights->second,
                         .startedAtMs = entry.second.startedAtMs,
                         .requests = m_fleet.targetSelector().requestsAt(entry.first, now),
                         .isQuiet = m_fleet.targetSelector().isQuiet(entry.second, now)});
            }
        }
        for (const std::string &id : m_fleet.weightRollout().dueTargets(model, targets, now)) {
            requestReport(model, *m_fleet.directory().find(id));
        }
        announcePlan(m_fleet.weightRollout().plan(model, targets), now);
    }

    /// Announces the current plan to the other VMs.
    void announcePlan(RolloutPlan plan, Instant now)
    {
        RolloutPlan &lastPlan = m_plans[plan.model];
        const bool isNew = lastPlan.fencing != m_lease.fencing() || !plan.hasSameContent(lastPlan);
        if (!isNew && plan.loading.empty() && plan.waiting.empty()) {
            return;
        }
        plan.fencing = m_lease.fencing();
        plan.sequence = isNew ? ++m_planSequence : lastPlan.sequence;
        lastPlan = plan;
        m_fleet.applyRolloutPlan(plan, now);
    }

    void requestReport(const std::string &model, const TargetEntry &target)
    {
        const WeightsOrder order{.target = target.id,
                                 .address = target.address,
                                 .startedAtMs = target.startedAtMs,
                                 .model = model,
                                 .version = m_fleet.weightRollout().desiredVersion(model),
                                 .controller = m_fleet.options().vmId,
                                 .fencing = m_lease.fencing()};
        m_fleet.countTargetCall(order.target, order.startedAtMs, TargetCall::Report);
        m_channel.requestReport(order, [this, order](std::optional<WeightsReport> report,
                                                     const TargetNotice &notice) {
            m_fleet.applyNotice(order.target, order.startedAtMs, notice, http::EventLoop::now());
            onReport(order, report);
        });
    }

    void onReport(WeightsOrder order, const std::optional<WeightsReport> &report)
    {
        if (!report) {
            onOrderEnded(order, WeightOrderOutcome::Unknown);
            return;
        }
        m_fleet.updateLoadedWeights(order.target, order.model, report->version);
        if (report->version >= order.version) {
            onOrderEnded(order, WeightOrderOutcome::AlreadyLoaded);
            return;
        }
        if (report->isBusy) {
            onOrderEnded(order, WeightOrderOutcome::Busy);
            return;
        }
        if (m_fleet.weightRollout().wasOrdered(order.model, order.target, report->version)) {
            onOrderEnded(order, WeightOrderOutcome::OlderVersionLoaded);
            return;
        }
        order.ordersAccepted = report->ordersAccepted;
        const Instant now = http::EventLoop::now();
        if (!m_lease.mayIssueOrders(now) || order.fencing != m_lease.fencing() || m_isStopped) {
            onOrderEnded(order, WeightOrderOutcome::Unknown);
            return;
        }
        m_log.write(telemetry::EventPriority::Important, "weights_ordered",
                    {{"target", std::string_view(order.target)},
                     {"model", std::string_view(order.model)},
                     {"version", static_cast<int64_t>(order.version)},
                     {"reported", static_cast<int64_t>(report->version)},
                     {"fencing", static_cast<int64_t>(order.fencing)}});
        m_fleet.countTargetCall(order.target, order.startedAtMs, TargetCall::Order);
        m_channel.sendOrder(order, [this, order](WeightOrderOutcome end,
                                                 const TargetNotice &notice) {
            m_fleet.applyNotice(order.target, order.startedAtMs, notice, http::EventLoop::now());
            onOrderEnded(order, end);
        });
    }

    void onOrderEnded(const WeightsOrder &order, WeightOrderOutcome end)
    {
        const Instant now = http::EventLoop::now();
        m_fleet.weightRollout().orderEnded(order.model, order.target, end, now);
        m_log.write(telemetry::EventPriority::Important, "weights_answered",
                    {{"target", std::string_view(order.target)},
                     {"model", std::string_view(order.model)},
                     {"version", static_cast<int64_t>(order.version)},
                     {"fencing", static_cast<int64_t>(order.fencing)},
                     {"outcome", name(end)}});
        if (end == WeightOrderOutcome::Fenced && order.fencing == m_lease.fencing()) {
            loseLease(now);
        }
        if (end == WeightOrderOutcome::AlreadyLoaded) {
            m_fleet.updateLoadedWeights(order.target, order.model, order.version);
        }
        if (end == WeightOrderOutcome::AlreadyLoaded
            || end == WeightOrderOutcome::OlderVersionLoaded) {
            plan();
        }
    }

    http::EventLoop &m_loop;
    Store &m_store;
    Channel &m_channel;
    FleetState &m_fleet;
    telemetry::EventLog &m_log;
    Options m_options;
    ControllerLease m_lease;
    /// Notices when the controller's key becomes free.
    PrefixWatcher<Store> m_watcher;
    bool m_isWatching = false;
    bool m_isCompetitor = false;
    bool m_isKeyFree = false;
    Instant m_startedAt;
    Instant m_competeAt;
    Instant m_acquireAt;
    uint64_t m_leaseId = 0;
    /// Last announced plan of each model.
    std::map<std::string, RolloutPlan> m_plans;
    uint64_t m_planSequence = 0;
    bool m_isCallPending = false;
    bool m_isStopped = false;
    http::EventLoop::TimerId m_timer = 0;
};

} // namespace teaseldrift::relay
