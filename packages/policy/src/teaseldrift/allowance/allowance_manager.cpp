#include "teaseldrift/allowance/allowance_manager.hpp"

#include <map>
#include <utility>

#include "organisation_allowance.hpp"

namespace teaseldrift::allowance {

struct AllowanceManager::Impl
{
    SharedContext context;
    std::map<std::string, OrganisationAllowance, std::less<>> organisations;

    OrganisationAllowance *find(std::string_view name)
    {
        const auto found = organisations.find(name);
        return found == organisations.end() ? nullptr : &found->second;
    }
};

AllowanceManager::AllowanceManager(ProcessIdentity self, Options options)
    : m_impl(new Impl{.context = {.self = std::move(self),
                                  .options = options,
                                  .registry = VmRegistry(options.maximumListAge)}})
{ }

AllowanceManager::~AllowanceManager() = default;
AllowanceManager::AllowanceManager(AllowanceManager &&) noexcept = default;
AllowanceManager &AllowanceManager::operator=(AllowanceManager &&) noexcept = default;

void AllowanceManager::configure(std::string_view organisation, const Limits &limits, Instant now)
{
    OrganisationAllowance *found = m_impl->find(organisation);
    if (found == nullptr) {
        found = &m_impl->organisations
                         .try_emplace(std::string(organisation), m_impl->context, organisation)
                         .first->second;
    }
    found->configure(limits, now);
}

void AllowanceManager::remove(std::string_view organisation, Instant now)
{
    const auto found = m_impl->organisations.find(organisation);
    if (found != m_impl->organisations.end()) {
        found->second.refuseAll(now);
        m_impl->organisations.erase(found);
    }
}

void AllowanceManager::setVms(std::span<const homes::VmView> vms, Instant now, Duration age)
{
    if (!m_impl->context.registry.update(vms, now - age)) {
        return;
    }
    for (auto &[name, organisation] : m_impl->organisations) {
        organisation.onVms(now);
    }
}

Decision AllowanceManager::admit(std::string_view organisation, MicroTokens cost, Instant now)
{
    OrganisationAllowance *found = m_impl->find(organisation);
    if (found == nullptr) {
        return {.code = schema::ALLOWANCE_UNCONFIRMED};
    }
    return found->admit(cost, now);
}

void AllowanceManager::refund(std::string_view organisation, const Ticket &ticket,
                              MicroTokens unused, Instant now)
{
    OrganisationAllowance *found = m_impl->find(organisation);
    if (found != nullptr) {
        found->refund(ticket, unused, now);
    }
}

void AllowanceManager::cancel(std::string_view organisation, uint64_t requestId)
{
    OrganisationAllowance *found = m_impl->find(organisation);
    if (found != nullptr) {
        found->cancel(requestId);
    }
}

void AllowanceManager::onMessage(std::string_view fromVm, const schema::AllowanceMessage &message,
                                 Instant now)
{
    OrganisationAllowance *found = m_impl->find(message.organisation());
    if (found != nullptr) {
        found->onMessage(fromVm, message, now);
        return;
    }
    m_impl->context.refuse(message.organisation(), fromVm, "unknown_organisation");
}

void AllowanceManager::onRead(std::string_view organisation, const RecordReadResult &state,
                              Instant now)
{
    OrganisationAllowance *found = m_impl->find(organisation);
    if (found != nullptr) {
        found->onRead(state, now);
    }
}

void AllowanceManager::onWrite(std::string_view organisation, RecordWriteOutcome outcome,
                               Instant now)
{
    OrganisationAllowance *found = m_impl->find(organisation);
    if (found != nullptr) {
        found->onWrite(outcome, now);
    }
}

void AllowanceManager::tick(Instant now)
{
    for (auto &[name, organisation] : m_impl->organisations) {
        organisation.tick(now);
    }
}

Actions AllowanceManager::takeActions()
{
    return std::exchange(m_impl->context.actions, Actions{});
}

void AllowanceManager::drain(Instant now)
{
    for (auto &[name, organisation] : m_impl->organisations) {
        organisation.drain(now);
    }
}

ShareUnits AllowanceManager::share(std::string_view organisation) const
{
    const OrganisationAllowance *found = m_impl->find(organisation);
    return found == nullptr ? 0 : found->share();
}

MicroTokens AllowanceManager::level(std::string_view organisation, Instant now) const
{
    const OrganisationAllowance *found = m_impl->find(organisation);
    return found == nullptr ? 0 : found->level(now);
}

std::vector<std::string> AllowanceManager::members(std::string_view organisation) const
{
    std::vector<std::string> names;
    const OrganisationAllowance *found = m_impl->find(organisation);
    if (found != nullptr) {
        for (const schema::DivisionMember &member : found->record().members()) {
            names.push_back(member.vm_id());
        }
    }
    return names;
}

DivisionState AllowanceManager::divisionState(std::string_view organisation) const
{
    const OrganisationAllowance *found = m_impl->find(organisation);
    return found == nullptr ? DivisionState{} : found->divisionState();
}

uint64_t AllowanceManager::refusedMessages() const
{
    return m_impl->context.refusedMessages;
}

size_t AllowanceManager::organisations() const
{
    return m_impl->organisations.size();
}

} // namespace teaseldrift::allowance
