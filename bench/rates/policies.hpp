#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet.hpp"
#include "teaseldrift/allowance/allowance_manager.hpp"
#include "teaseldrift/allowance/local_token_bucket.hpp"

namespace teaseldrift::rates {

/// @brief Token bucket of the baseline policies.
class Bucket
{
public:
    void set(const Limits &limits, double share, Instant now);
    bool tryAcquire(MicroTokens tokens, Instant now);
    void refund(MicroTokens tokens, Instant now);
    void clear(Instant now);

private:
    Limits m_limits;
    MicroTokens m_level = 0;
    Instant m_at{};

    void refill(Instant now);
};

/// @brief Gives each home an equal, fixed part of the rate. Other VMs forward requests to a home.
class StaticEqual
{
public:
    explicit StaticEqual(Fleet &fleet);
    void admit(size_t request);
    void finish(size_t request);
    void crash(size_t vm);
    void start(size_t) { }
    void onVmList() { divide(); }

private:
    Fleet &m_fleet;
    std::vector<std::vector<Bucket>> m_buckets;
    std::vector<size_t> m_decidedBy;

    void divide();
};

/// @brief Lets one home decide for all VMs. Its replacement needs the store.
class OneAuthority
{
public:
    explicit OneAuthority(Fleet &fleet);
    void admit(size_t request);
    void finish(size_t request);
    void crash(size_t vm);
    void start(size_t) { }
    void onVmList();

private:
    Fleet &m_fleet;
    std::vector<Bucket> m_buckets;
    std::vector<size_t> m_authority;
};

/// @brief Lets homes lease parts of the rate from the store, divided by the demand since the
/// previous renewal. A home that cannot renew its lease refuses all requests.
class LeasesOnly
{
public:
    explicit LeasesOnly(Fleet &fleet);
    void admit(size_t request);
    void finish(size_t request);
    void crash(size_t vm);
    void start(size_t) { }
    void onVmList() { }

private:
    Fleet &m_fleet;
    std::vector<std::vector<Bucket>> m_buckets;
    std::vector<std::vector<double>> m_demand;
    std::vector<size_t> m_decidedBy;

    void renew();
};

/// @brief Runs one AllowanceManager for each VM over a simulated network and a store in memory.
class Teaseldrift
{
public:
    explicit Teaseldrift(Fleet &fleet);
    void admit(size_t request);
    void finish(size_t request);
    void crash(size_t vm);
    void start(size_t vm);
    void onVmList();

private:
    struct Record
    {
        std::optional<schema::DivisionRecord> record;
        uint64_t revision = 0;
    };

    Fleet &m_fleet;
    uint64_t m_lastIncarnation = 0;
    std::vector<std::unique_ptr<allowance::AllowanceManager>> m_managers;
    std::vector<uint64_t> m_incarnations;
    std::map<std::string, Record> m_store;
    /// Index of each pending request, by VM slot and request id.
    std::vector<std::map<uint64_t, size_t>> m_waiting;
    std::map<size_t, allowance::Ticket> m_tickets;
    /// Times at which members admitted forwarded requests, by decisionKey().
    std::map<std::string, Instant> m_decidedAt;

    void performActions(size_t vm);
    void tick();
    void recordDecision(size_t vm, size_t request, const allowance::Decision &decision);
    void deliver(size_t from, allowance::OutgoingMessage outgoing);
    void read(size_t vm, const std::string &organisation);
    void write(size_t vm, const allowance::RecordWrite &recordWrite);
    [[nodiscard]] std::vector<homes::VmView> vmViews() const;
};

} // namespace teaseldrift::rates
