#include "teaseldrift/targets/target_limits.hpp"

#include <algorithm>
#include <bit>
#include <charconv>

#include "teaseldrift/base/rendezvous.hpp"
#include "teaseldrift/targets/peer_load_tracker.hpp"

namespace teaseldrift {

TargetLimitKey limitKeyOf(std::string_view targetId, uint64_t startedAtMs)
{
    return {.target = targetKeyOf(targetId), .startedAtMs = startedAtMs};
}

TargetLimitKey brittleServiceKey(std::string_view service)
{
    return {.target = targetKeyOf(service)};
}

std::string limitName(TargetLimitKey key)
{
    return std::to_string(key.target) + '/' + std::to_string(key.startedAtMs);
}

TargetLimitKey targetOfLimit(std::string_view name)
{
    TargetLimitKey key;
    const char *const end = name.data() + name.size();
    const std::from_chars_result target = std::from_chars(name.data(), end, key.target);
    if (target.ec != std::errc() || target.ptr == end || *target.ptr != '/'
        || std::from_chars(target.ptr + 1, end, key.startedAtMs).ec != std::errc()) {
        return {};
    }
    return key;
}

bool TargetLimits::named(TargetLimitKey key, double perSecond, Instant now)
{
    return merge({.key = key, .perSecond = perSecond, .statedAt = now}, now);
}

bool TargetLimits::notNamed(TargetLimitKey key, Instant sentAt, Instant now)
{
    const auto found = m_states.find(key);
    if (found == m_states.end() || !found->second.perSecond || sentAt <= found->second.statedAt) {
        return false;
    }
    State &state = found->second;
    state.lackedSince = state.lackedSince.value_or(now);
    if (now - *state.lackedSince < m_options.endConfirmation) {
        return false;
    }
    return set(state, std::nullopt, now);
}

bool TargetLimits::merge(const TargetLimit &limit, Instant now)
{
    expire(now);
    auto found = m_states.find(limit.key);
    if (found == m_states.end()) {
        const bool isOld = now - limit.statedAt > m_options.endMemory;
        if ((!limit.perSecond && isOld) || m_states.size() >= m_options.maxTargets) {
            return false;
        }
        found = m_states.try_emplace(limit.key).first;
    } else if (limit.statedAt <= found->second.statedAt) {
        return false;
    }
    const std::optional<double> perSecond
            = limit.perSecond ? std::optional(std::max(*limit.perSecond, m_options.minPerSecond))
                              : std::nullopt;
    return set(found->second, perSecond, limit.statedAt);
}

bool TargetLimits::set(State &state, std::optional<double> perSecond, Instant statedAt)
{
    state.statedAt = statedAt;
    state.lackedSince.reset();
    const bool isSmallIncrease
            = state.perSecond && perSecond && *perSecond >= *state.perSecond
              && *perSecond < *state.perSecond * (1.0 + m_options.increaseThreshold);
    if (isSmallIncrease || state.perSecond == perSecond) {
        return false;
    }
    state.perSecond = perSecond;
    return true;
}

std::optional<double> TargetLimits::of(TargetLimitKey key) const
{
    const auto found = m_states.find(key);
    return found == m_states.end() ? std::nullopt : found->second.perSecond;
}

std::optional<TargetLimit> TargetLimits::find(TargetLimitKey key) const
{
    const auto found = m_states.find(key);
    if (found == m_states.end()) {
        return std::nullopt;
    }
    return TargetLimit{
            .key = key, .perSecond = found->second.perSecond, .statedAt = found->second.statedAt};
}

std::vector<TargetLimit> TargetLimits::statements(Instant now) const
{
    std::vector<TargetLimit> statements;
    for (const std::pair<const TargetLimitKey, State> &state : m_states) {
        if (state.second.perSecond || now - state.second.statedAt <= m_options.endMemory) {
            statements.push_back({.key = state.first,
                                  .perSecond = state.second.perSecond,
                                  .statedAt = state.second.statedAt});
        }
    }
    return statements;
}

size_t TargetLimits::count() const
{
    return static_cast<size_t>(
            std::count_if(m_states.begin(), m_states.end(),
                          [](const std::pair<const TargetLimitKey, State> &state) {
                              return state.second.perSecond.has_value();
                          }));
}

uint64_t TargetLimits::digest() const
{
    uint64_t digest = 0;
    for (const std::pair<const TargetLimitKey, State> &state : m_states) {
        if (state.second.perSecond) {
            const std::string text
                    = limitName(state.first) + '/'
                      + std::to_string(std::bit_cast<uint64_t>(*state.second.perSecond));
            digest ^= rendezvousKey(text);
        }
    }
    return digest;
}

bool TargetLimits::restarted(TargetLimitKey key, Instant since)
{
    std::optional<State> own;
    for (const std::pair<const TargetLimitKey, State> &state : m_states) {
        const bool isOwn = state.first.target == key.target && state.second.statedAt >= since;
        if (isOwn && (!own || state.second.statedAt > own->statedAt)) {
            own = state.second;
        }
    }
    const bool wasInForce = remove(key.target);
    if (own) {
        m_states.emplace(key, *own);
    }
    return wasInForce;
}

bool TargetLimits::remove(uint32_t target)
{
    bool wasInForce = false;
    std::erase_if(m_states, [&](const std::pair<const TargetLimitKey, State> &state) {
        const bool isRemoved = state.first.target == target;
        wasInForce = wasInForce || (isRemoved && state.second.perSecond);
        return isRemoved;
    });
    return wasInForce;
}

void TargetLimits::expire(Instant now)
{
    std::erase_if(m_states, [&](const std::pair<const TargetLimitKey, State> &state) {
        return !state.second.perSecond && now - state.second.statedAt > m_options.endMemory;
    });
}

} // namespace teaseldrift
