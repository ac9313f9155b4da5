#include "teaseldrift/orders/order_controller.hpp"

#include <algorithm>
#include <utility>

namespace teaseldrift {

namespace {

bool holds(const TargetReport &report, const DesiredModel &desired)
{
    return report.model == desired.model && report.version == desired.version;
}

/// Whether a report shows that the target has received an order.
bool confirms(const TargetReport &report, const Order &order)
{
    if (report.model != order.model || report.version != order.version) {
        return false;
    }
    return order.kind != schema::LOAD_ADAPTER
           || std::find(report.adapters.begin(), report.adapters.end(), order.adapter)
                      != report.adapters.end();
}

} // namespace

OrderController::OrderController(OrderOptions options) : m_options(options), m_lease(options) { }

void OrderController::setDesiredModels(std::span<const DesiredModel> desired)
{
    m_desiredModels.assign(desired.begin(), desired.end());
}

void OrderController::setTargets(std::span<const OrderTarget> targets)
{
    States states;
    for (const OrderTarget &target : targets) {
        const States::iterator known = m_states.find(target.id);
        State state = known == m_states.end() ? State() : std::move(known->second);
        state.target = target;
        states.emplace(target.id, std::move(state));
    }
    m_states = std::move(states);
}

void OrderController::report(const TargetReport &report)
{
    const States::iterator found = m_states.find(report.target);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    if (!state.report || state.report->reportedAt <= report.reportedAt) {
        state.report = report;
    }
}

void OrderController::orderNotDelivered(std::string_view target)
{
    const States::iterator found = m_states.find(target);
    if (found != m_states.end()) {
        found->second.pending.reset();
    }
}

OrderPlan OrderController::plan(Instant now)
{
    OrderPlan plan;
    if (!m_lease.mayIssueOrders(now)) {
        return plan;
    }
    plan.isActive = true;
    if (m_lease.fencing() != m_termFencing) {
        startTerm(now);
    }
    for (std::pair<const std::string, State> &entry : m_states) {
        resolvePending(entry.second, now);
        entry.second.isChosen = false;
    }
    for (const DesiredModel &desired : m_desiredModels) {
        planModel(desired, now, plan);
        planAdapters(desired, now, plan);
    }
    restoreToService(plan);
    return plan;
}

/// Discards what is known about orders of an earlier term, since other controllers may have issued
/// orders since.
void OrderController::startTerm(Instant now)
{
    m_termFencing = m_lease.fencing();
    m_termStartedAt = now;
    for (std::pair<const std::string, State> &entry : m_states) {
        entry.second.pending.reset();
        entry.second.withdrawnAt.reset();
        entry.second.reportsValidFrom = now;
    }
}

void OrderController::resolvePending(State &state, Instant now) const
{
    if (!state.pending) {
        return;
    }
    const Instant arrived = state.pending->sendDeadline + m_options.maxOrderLifetime;
    const bool isConfirmed = state.report && state.report->reportedAt >= state.orderedAt
                             && confirms(*state.report, *state.pending);
    const bool isDisproved = state.report && state.report->reportedAt >= arrived;
    if (isConfirmed || isDisproved || now >= arrived + m_options.maxLoadTime) {
        state.pending.reset();
        state.reportsValidFrom = isConfirmed ? state.orderedAt : arrived;
    }
}

void OrderController::planModel(const DesiredModel &desired, Instant now, OrderPlan &plan)
{
    uint32_t count = 0;
    for (const std::pair<const std::string, State> &entry : m_states) {
        const State &state = entry.second;
        const bool isOrdered = state.pending && state.pending->model == desired.model
                               && state.pending->version == desired.version;
        const bool isHeld = !state.pending && state.report && holds(*state.report, desired);
        count += !state.target.isLeaving && (isOrdered || isHeld) ? 1 : 0;
    }
    for (; count < desired.replicas; ++count) {
        State *state = chooseTarget(desired);
        if (state == nullptr) {
            return;
        }
        loadOrWithdraw(*state, desired, now, plan);
    }
}

OrderController::State *OrderController::chooseTarget(const DesiredModel &desired)
{
    State *empty = nullptr;
    State *surplus = nullptr;
    State *older = nullptr;
    for (std::pair<const std::string, State> &entry : m_states) {
        State &state = entry.second;
        if (!isAvailable(state) || holds(*state.report, desired)) {
            continue;
        }
        const bool isOlder = state.report->model == desired.model;
        if (state.withdrawnAt && (isOlder || isSurplus(state))) {
            return &state;
        }
        if (isOlder) {
            older = older == nullptr && mayTakeOutOfService(state, desired) ? &state : older;
        } else if (state.report->model.empty()) {
            empty = empty == nullptr ? &state : empty;
        } else if (isSurplus(state)) {
            surplus = surplus == nullptr ? &state : surplus;
        }
    }
    if (empty != nullptr) {
        return empty;
    }
    return surplus != nullptr ? surplus : older;
}

bool OrderController::isReportCurrent(const State &state)
{
    return state.report && state.report->reportedAt >= state.reportsValidFrom;
}

bool OrderController::isAvailable(const State &state) const
{
    return isReportCurrent(state) && !state.report->isLoading && !state.pending
           && !state.target.isLeaving && !state.isChosen;
}

/// Whether no model needs the replica on this target.
bool OrderController::isSurplus(const State &state) const
{
    const DesiredModel *desired = findDesired(state.report->model);
    if (desired == nullptr) {
        return true;
    }
    const uint32_t ownReplica = state.withdrawnAt ? 1 : 0;
    return desired->replicas > 0 && countHolding(desired->model) + ownReplica > desired->replicas;
}

/// Whether enough targets keep serving a model while this one loads a new version.
bool OrderController::mayTakeOutOfService(const State &state, const DesiredModel &desired) const
{
    const uint32_t serving = countServing(desired.model);
    const uint32_t servingAfter = serving - (isServing(state.target.id, desired.model) ? 1 : 0);
    return servingAfter + m_options.maxUnavailable >= desired.replicas;
}

void OrderController::loadOrWithdraw(State &state, const DesiredModel &desired, Instant now,
                                     OrderPlan &plan)
{
    state.isChosen = true;
    const bool isInUse = !state.report->model.empty();
    if (isInUse && !state.withdrawnAt) {
        state.isChosen = loadSlotsInUse(now) < m_options.maxConcurrentLoads;
        state.withdrawnAt = state.isChosen ? std::optional(now) : std::nullopt;
        return;
    }
    if (isInUse && !isDrained(state, now)) {
        return;
    }
    const uint32_t ownSlot = state.withdrawnAt ? 1 : 0;
    if (loadSlotsInUse(now) - ownSlot < m_options.maxConcurrentLoads) {
        issueOrder(state, makeOrder(state, schema::LOAD_MODEL, desired, now), now, plan);
    }
}

bool OrderController::isDrained(const State &state, Instant now) const
{
    const Instant unusedSince = *state.withdrawnAt + m_options.withdrawalDelay;
    return now >= unusedSince && state.report->reportedAt >= unusedSince
           && state.report->inFlight == 0;
}

void OrderController::planAdapters(const DesiredModel &desired, Instant now, OrderPlan &plan)
{
    for (std::pair<const std::string, State> &entry : m_states) {
        State &state = entry.second;
        if (!isAvailable(state) || !holds(*state.report, desired)) {
            continue;
        }
        for (const std::string &adapter : desired.adapters) {
            const std::vector<std::string> &known = state.report->adapters;
            const bool isMissing = std::find(known.begin(), known.end(), adapter) == known.end();
            if (isMissing && !state.pending && loadSlotsInUse(now) < m_options.maxConcurrentLoads) {
                Order order = makeOrder(state, schema::LOAD_ADAPTER, desired, now);
                order.adapter = adapter;
                issueOrder(state, std::move(order), now, plan);
            }
        }
    }
}

void OrderController::issueOrder(State &state, Order order, Instant now, OrderPlan &plan)
{
    if (order.kind == schema::LOAD_MODEL && !state.withdrawnAt) {
        state.withdrawnAt = now;
    }
    state.pending = order;
    state.orderedAt = now;
    plan.orders.push_back(std::move(order));
}

/// Returns withdrawn targets to service whose load has finished or is no longer needed.
void OrderController::restoreToService(OrderPlan &plan)
{
    for (std::pair<const std::string, State> &entry : m_states) {
        State &state = entry.second;
        const bool isLoading = state.pending || (state.report && state.report->isLoading);
        if (!state.isChosen && !isLoading) {
            state.withdrawnAt.reset();
        }
        if (state.withdrawnAt) {
            plan.withdrawn.push_back(entry.first);
        }
    }
}

bool OrderController::mayBeLoading(const State &state, Instant now) const
{
    if (state.pending) {
        return true;
    }
    const bool isKnown = state.report && state.report->reportedAt >= m_termStartedAt;
    if (!isKnown) {
        return now < m_termStartedAt + m_options.maxLoadTime;
    }
    return state.report->isLoading && now < state.report->reportedAt + m_options.maxLoadTime;
}

uint32_t OrderController::loadsInProgress(Instant now) const
{
    return static_cast<uint32_t>(std::count_if(m_states.begin(), m_states.end(),
                                               [this, now](const States::value_type &entry) {
                                                   return mayBeLoading(entry.second, now);
                                               }));
}

/// Loads that are or may be in progress, plus targets withdrawn to load next.
uint32_t OrderController::loadSlotsInUse(Instant now) const
{
    return static_cast<uint32_t>(std::count_if(
            m_states.begin(), m_states.end(), [this, now](const States::value_type &entry) {
                return entry.second.withdrawnAt || mayBeLoading(entry.second, now);
            }));
}

bool OrderController::isServing(std::string_view target, std::string_view model) const
{
    const States::const_iterator found = m_states.find(target);
    if (found == m_states.end() || !found->second.report) {
        return false;
    }
    const State &state = found->second;
    const bool isBeingLoaded = state.pending && state.pending->kind == schema::LOAD_MODEL;
    return state.report->model == model && !state.report->isLoading && !isBeingLoaded
           && !state.withdrawnAt && !state.target.isLeaving;
}

uint32_t OrderController::countServing(std::string_view model) const
{
    return static_cast<uint32_t>(std::count_if(
            m_states.begin(), m_states.end(), [this, model](const States::value_type &entry) {
                return isReportCurrent(entry.second) && isServing(entry.first, model);
            }));
}

uint32_t OrderController::countHolding(std::string_view model) const
{
    return static_cast<uint32_t>(std::count_if(
            m_states.begin(), m_states.end(), [model](const States::value_type &entry) {
                const State &state = entry.second;
                return state.report && state.report->model == model && !state.pending
                       && !state.withdrawnAt && !state.target.isLeaving;
            }));
}

const DesiredModel *OrderController::findDesired(std::string_view model) const
{
    const std::vector<DesiredModel>::const_iterator found
            = std::find_if(m_desiredModels.begin(), m_desiredModels.end(),
                           [model](const DesiredModel &desired) { return desired.model == model; });
    return found == m_desiredModels.end() ? nullptr : &*found;
}

Order OrderController::makeOrder(const State &state, schema::OrderKind kind,
                                 const DesiredModel &desired, Instant now) const
{
    return {
            .target = state.target.id,
            .kind = kind,
            .model = desired.model,
            .version = desired.version,
            .fencing = m_lease.fencing(),
            .sendDeadline = std::min(m_lease.heldUntil(), now + m_options.maxOrderLifetime),
    };
}

} // namespace teaseldrift
