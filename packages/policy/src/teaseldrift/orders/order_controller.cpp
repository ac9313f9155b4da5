#include "teaseldrift/orders/order_controller.hpp"

#include <algorithm>
#include <utility>

namespace teaseldrift {

namespace {

bool holds(const TargetReport &report, const ModelDemand &demand)
{
    return report.model == demand.model && report.version == demand.version;
}

/// Whether a target's report shows that it has received an order.
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

void OrderController::setDemand(std::span<const ModelDemand> demand)
{
    m_demand.assign(demand.begin(), demand.end());
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
    if (!m_lease.mayOrder(now)) {
        return plan;
    }
    plan.isInCharge = true;
    if (m_lease.fencing() != m_termFencing) {
        beginTerm(now);
    }
    for (std::pair<const std::string, State> &entry : m_states) {
        settle(entry.second, now);
        entry.second.isChosen = false;
    }
    for (const ModelDemand &demand : m_demand) {
        planModel(demand, now, plan);
        planAdapters(demand, now, plan);
    }
    finishPass(plan);
    return plan;
}

/// What this process knew of orders from an earlier term is void: others may have given orders.
void OrderController::beginTerm(Instant now)
{
    m_termFencing = m_lease.fencing();
    m_termBegun = now;
    for (std::pair<const std::string, State> &entry : m_states) {
        entry.second.pending.reset();
        entry.second.withdrawnAt.reset();
        entry.second.reportsFrom = now;
    }
}

void OrderController::settle(State &state, Instant now) const
{
    if (!state.pending) {
        return;
    }
    const Instant arrived = state.pending->sendUntil + m_options.maxOrderLife;
    const bool isConfirmed = state.report && state.report->reportedAt >= state.orderedAt
                             && confirms(*state.report, *state.pending);
    const bool isRefuted = state.report && state.report->reportedAt >= arrived;
    if (isConfirmed || isRefuted || now >= arrived + m_options.maxLoadTime) {
        state.pending.reset();
        state.reportsFrom = isConfirmed ? state.orderedAt : arrived;
    }
}

void OrderController::planModel(const ModelDemand &demand, Instant now, OrderPlan &plan)
{
    uint32_t have = 0;
    for (const std::pair<const std::string, State> &entry : m_states) {
        const State &state = entry.second;
        const bool isOrdered = state.pending && state.pending->model == demand.model
                               && state.pending->version == demand.version;
        const bool isHeld = !state.pending && state.report && holds(*state.report, demand);
        have += !state.target.isLeaving && (isOrdered || isHeld) ? 1 : 0;
    }
    for (; have < demand.replicas; ++have) {
        State *state = choose(demand);
        if (state == nullptr) {
            return;
        }
        loadOrWithdraw(*state, demand, now, plan);
    }
}

OrderController::State *OrderController::choose(const ModelDemand &demand)
{
    State *empty = nullptr;
    State *free = nullptr;
    State *older = nullptr;
    for (std::pair<const std::string, State> &entry : m_states) {
        State &state = entry.second;
        if (!isChoosable(state) || holds(*state.report, demand)) {
            continue;
        }
        const bool isOlder = state.report->model == demand.model;
        if (state.withdrawnAt && (isOlder || isFree(state))) {
            return &state;
        }
        if (isOlder) {
            older = older == nullptr && mayReplace(state, demand) ? &state : older;
        } else if (state.report->model.empty()) {
            empty = empty == nullptr ? &state : empty;
        } else if (isFree(state)) {
            free = free == nullptr ? &state : free;
        }
    }
    if (empty != nullptr) {
        return empty;
    }
    return free != nullptr ? free : older;
}

bool OrderController::isReportCurrent(const State &state)
{
    return state.report && state.report->reportedAt >= state.reportsFrom;
}

bool OrderController::isChoosable(const State &state) const
{
    return isReportCurrent(state) && !state.report->isLoading && !state.pending
           && !state.target.isLeaving && !state.isChosen;
}

/// Whether no model needs what the target holds.
bool OrderController::isFree(const State &state) const
{
    const ModelDemand *demand = demandFor(state.report->model);
    if (demand == nullptr) {
        return true;
    }
    const uint32_t itself = state.withdrawnAt ? 1 : 0;
    return demand->replicas > 0 && countHolding(demand->model) + itself > demand->replicas;
}

/// Whether enough targets go on serving a model while one of them loads a new version.
bool OrderController::mayReplace(const State &state, const ModelDemand &demand) const
{
    const uint32_t serving = countServing(demand.model);
    const uint32_t after = serving - (isServing(state.target.id, demand.model) ? 1 : 0);
    return after + m_options.maxUnavailable >= demand.replicas;
}

void OrderController::loadOrWithdraw(State &state, const ModelDemand &demand, Instant now,
                                     OrderPlan &plan)
{
    state.isChosen = true;
    const bool isInUse = !state.report->model.empty();
    if (isInUse && !state.withdrawnAt) {
        state.isChosen = slotsUsed(now) < m_options.concurrentLoads;
        state.withdrawnAt = state.isChosen ? std::optional(now) : std::nullopt;
        return;
    }
    if (isInUse && !isDrained(state, now)) {
        return;
    }
    const uint32_t own = state.withdrawnAt ? 1 : 0;
    if (slotsUsed(now) - own < m_options.concurrentLoads) {
        give(state, makeOrder(state, schema::LOAD_MODEL, demand, now), now, plan);
    }
}

bool OrderController::isDrained(const State &state, Instant now) const
{
    const Instant unused = *state.withdrawnAt + m_options.withdrawDelay;
    return now >= unused && state.report->reportedAt >= unused && state.report->inFlight == 0;
}

void OrderController::planAdapters(const ModelDemand &demand, Instant now, OrderPlan &plan)
{
    for (std::pair<const std::string, State> &entry : m_states) {
        State &state = entry.second;
        if (!isChoosable(state) || !holds(*state.report, demand)) {
            continue;
        }
        for (const std::string &adapter : demand.adapters) {
            const std::vector<std::string> &known = state.report->adapters;
            const bool isMissing = std::find(known.begin(), known.end(), adapter) == known.end();
            if (isMissing && !state.pending && slotsUsed(now) < m_options.concurrentLoads) {
                Order order = makeOrder(state, schema::LOAD_ADAPTER, demand, now);
                order.adapter = adapter;
                give(state, std::move(order), now, plan);
            }
        }
    }
}

void OrderController::give(State &state, Order order, Instant now, OrderPlan &plan)
{
    if (order.kind == schema::LOAD_MODEL && !state.withdrawnAt) {
        state.withdrawnAt = now;
    }
    state.pending = order;
    state.orderedAt = now;
    plan.orders.push_back(std::move(order));
}

/// Puts targets back into service that were withdrawn for a load that is done or not wanted.
void OrderController::finishPass(OrderPlan &plan)
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
    const bool isKnown = state.report && state.report->reportedAt >= m_termBegun;
    if (!isKnown) {
        return now < m_termBegun + m_options.maxLoadTime;
    }
    return state.report->isLoading && now < state.report->reportedAt + m_options.maxLoadTime;
}

uint32_t OrderController::loadsUnderWay(Instant now) const
{
    return static_cast<uint32_t>(std::count_if(m_states.begin(), m_states.end(),
                                               [this, now](const States::value_type &entry) {
                                                   return mayBeLoading(entry.second, now);
                                               }));
}

/// Loads that are or may be under way, and targets withdrawn to load next.
uint32_t OrderController::slotsUsed(Instant now) const
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

const ModelDemand *OrderController::demandFor(std::string_view model) const
{
    const std::vector<ModelDemand>::const_iterator found
            = std::find_if(m_demand.begin(), m_demand.end(),
                           [model](const ModelDemand &demand) { return demand.model == model; });
    return found == m_demand.end() ? nullptr : &*found;
}

Order OrderController::makeOrder(const State &state, schema::OrderKind kind,
                                 const ModelDemand &demand, Instant now) const
{
    return {
            .target = state.target.id,
            .kind = kind,
            .model = demand.model,
            .version = demand.version,
            .fencing = m_lease.fencing(),
            .sendUntil = std::min(m_lease.orderUntil(), now + m_options.maxOrderLife),
    };
}

} // namespace teaseldrift
