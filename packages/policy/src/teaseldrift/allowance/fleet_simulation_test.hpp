#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaseldrift/allowance/allowance_manager.hpp"

namespace teaseldrift::allowance::simulation {

constexpr std::string_view organisation = "kinloch-baird";

/// @brief An admission, recorded at the time at which a member decided it.
struct Admission
{
    Instant at{};
    MicroTokens net = 0;
};

/// @brief The process on a VM. Its clock may stop while it is paused.
struct Process
{
    AllowanceManager manager;
    uint64_t incarnation = 0;
    std::string zone;
    bool paused = false;
    Duration clockLag{0};
    size_t viewIndex = 0;
};

struct Envelope
{
    std::string from;
    std::string to;
    schema::AllowanceMessage message;
};

struct View
{
    Instant at{};
    std::vector<homes::VmView> vms;
};

struct StoreCall
{
    std::string vm;
    uint64_t incarnation = 0;
    std::optional<RecordWrite> write;
    /// Record at the time the call was sent, for a read whose response is late.
    std::optional<schema::DivisionRecord> readRecord;
    uint64_t readRevision = 0;
};

struct OpenTicket
{
    std::string vm;
    uint64_t incarnation = 0;
    Ticket ticket;
    size_t admission = 0;
};

/// @brief Simulates a fleet of VMs, the messages between them, the store and the VM list, with
/// injected faults.
class FleetSimulation
{
public:
    FleetSimulation(size_t vms, bool clocksStop);

    // Events and faults. Indexes are taken modulo the number of elements.
    void run(Duration time);
    void skip(Duration time) { m_now += time; }
    void deliver(size_t number);
    void drop(size_t number);
    void duplicate(size_t number);
    /// @brief Withholds a message until deliverDelayed().
    void delay(size_t number);
    void deliverDelayed(size_t number);
    /// @brief Keeps copies of the next delivered messages as delayed messages.
    void delayCopies(size_t count) { m_copiesToDelay = count; }
    void admit(size_t vm, MicroTokens cost);
    /// @brief Each VM admits a request that costs its whole level.
    void spendAll();
    void refund(size_t number, MicroTokens unused);
    void pause(size_t vm);
    void resume(size_t vm);
    void kill(size_t vm);
    void replace(size_t vm);
    void replaceElsewhere(size_t vm);
    void drain(size_t vm);
    /// @brief Passes every VM the newest VM list.
    void refreshAll();
    void refreshList(size_t vm, size_t lag);
    /// @brief Changes the limits on every VM. What was admitted before must be within them.
    void setLimits(const Limits &changed);
    void setStoreDown(bool down) { m_storeDown = down; }
    void answerStore(size_t number, size_t fault);
    void heal();
    /// @brief Passes a VM a message as if another had sent it. Incarnations that are not set are
    /// those of the two processes.
    void inject(const std::string &from, const std::string &to, schema::AllowanceMessage message);
    /// @brief Replaces the units of each claim in the answers to fences.
    void claimInFenceAcks(ShareUnits units)
    {
        m_claimedUnits = units;
        m_hasFalseMessages = true;
    }

    /// @brief Checks all invariants.
    /// @return description of the violated invariant, empty if none
    [[nodiscard]] std::string violation() const;
    /// @brief Checks that every unit of the whole has exactly one place: a living VM, a message on
    /// its way, or a process that is dead or not active yet. It holds whenever all VMs know the
    /// record that the store has.
    /// @return what was violated, empty if nothing
    [[nodiscard]] std::string placeViolation() const;
    /// @brief Sum of the shares of all VMs.
    [[nodiscard]] int64_t shares() const;
    /// @brief Whether any VM admits a request of the whole burst within one second.
    bool canAdmitBurst();
    /// @brief Sum of the levels of all VMs.
    [[nodiscard]] MicroTokens levels() const;
    [[nodiscard]] DivisionState state(const std::string &vm) const;
    [[nodiscard]] uint64_t refusedMessages(const std::string &vm) const;
    /// @brief Ticket of the last admission.
    [[nodiscard]] Ticket lastTicket() const { return m_tickets.back().ticket; }
    [[nodiscard]] size_t admissions() const { return m_admissions.size(); }

    static constexpr Duration maximumListAge = 5s;
    /// Time after which the VMs use the whole again, once all run and messages, store and list
    /// work.
    static constexpr Duration recoveryTime = 2 * maximumListAge + 8s;
    Limits limits = limitsFromTokens(1000, 4000);

private:
    Instant m_now{};
    bool m_clocksStop;
    bool m_storeDown = false;
    size_t m_created = 0;
    std::map<std::string, Process> m_processes;
    std::map<std::string, std::string> m_listed;
    std::vector<std::string> m_leaving;
    std::vector<View> m_views;
    std::deque<Envelope> m_inFlight;
    std::deque<Envelope> m_delayed;
    size_t m_copiesToDelay = 0;
    std::deque<StoreCall> m_calls;
    std::optional<schema::DivisionRecord> m_record;
    uint64_t m_revision = 0;
    std::vector<Admission> m_admissions;
    std::vector<OpenTicket> m_tickets;
    std::map<std::string, MicroTokens> m_costs;
    /// Admissions that members made for other VMs, by answerKey().
    std::map<std::string, size_t> m_answers;
    /// Process incarnations by the incarnation in their messages.
    std::map<uint64_t, uint64_t> m_processOf;
    std::optional<ShareUnits> m_claimedUnits;
    /// inject() or claimInFenceAcks() was called.
    bool m_hasFalseMessages = false;
    bool m_wronglyTooLarge = false;
    /// First violation that a step of run() found.
    std::string m_stepViolation;
    /// Time from which the shares must sum to the whole.
    std::optional<Instant> m_wholeFrom;

    void start(const std::string &vm, const std::string &zone);
    void publish();
    Process *pick(size_t number, std::string &vm);
    [[nodiscard]] Instant localTime(const Process &process) const;
    void collectActions(const std::string &vm);
    void recordDecision(const std::string &vm, const Process &process, const Decision &decision);
    void recordAdmission(Instant at, MicroTokens cost);
    void stop(const std::string &vm);
    void refresh(const std::string &vm, size_t viewIndex);
    bool apply(const RecordWrite &write);
    void receive(const Envelope &envelope);
    void tickAll();
    void checkStep();
    [[nodiscard]] MicroTokens debt() const;
    [[nodiscard]] MicroTokens tokensUnderWay() const;
};

} // namespace teaseldrift::allowance::simulation
