#include "teaseldrift/allowance/allowance_book.hpp"

#include <map>
#include <utility>

#include "organisation_allowance.hpp"

namespace teaseldrift::allowance {

struct AllowanceBook::Native
{
    Environment environment;
    std::map<std::string, OrganisationAllowance, std::less<>> organisations;

    OrganisationAllowance *find(std::string_view name)
    {
        const auto found = organisations.find(name);
        return found == organisations.end() ? nullptr : &found->second;
    }
};

AllowanceBook::AllowanceBook(SelfView self, Options options)
    : m_native(new Native{.environment = {.self = std::move(self),
                                          .options = options,
                                          .registry = VmRegistry(options.listLag)}})
{ }

AllowanceBook::~AllowanceBook() = default;
AllowanceBook::AllowanceBook(AllowanceBook &&) noexcept = default;
AllowanceBook &AllowanceBook::operator=(AllowanceBook &&) noexcept = default;

void AllowanceBook::configure(std::string_view organisation, const Limits &limits, Instant now)
{
    OrganisationAllowance *found = m_native->find(organisation);
    if (found == nullptr) {
        found = &m_native->organisations
                         .try_emplace(std::string(organisation), m_native->environment,
                                      organisation)
                         .first->second;
    }
    found->configure(limits, now);
}

void AllowanceBook::remove(std::string_view organisation, Instant now)
{
    const auto found = m_native->organisations.find(organisation);
    if (found != m_native->organisations.end()) {
        found->second.refuseAll(now);
        m_native->organisations.erase(found);
    }
}

void AllowanceBook::setVms(std::span<const homes::VmView> vms, Instant now, Duration age)
{
    if (!m_native->environment.registry.update(vms, now - age)) {
        return;
    }
    for (auto &[name, organisation] : m_native->organisations) {
        organisation.onVms(now);
    }
}

Decision AllowanceBook::admit(std::string_view organisation, MicroTokens cost, Instant now)
{
    OrganisationAllowance *found = m_native->find(organisation);
    if (found == nullptr) {
        return {.code = schema::ALLOWANCE_UNCONFIRMED};
    }
    return found->admit(cost, now);
}

void AllowanceBook::giveBack(std::string_view organisation, const Ticket &ticket,
                             MicroTokens unused, Instant now)
{
    OrganisationAllowance *found = m_native->find(organisation);
    if (found != nullptr) {
        found->giveBack(ticket, unused, now);
    }
}

void AllowanceBook::cancel(std::string_view organisation, uint64_t requestId)
{
    OrganisationAllowance *found = m_native->find(organisation);
    if (found != nullptr) {
        found->cancel(requestId);
    }
}

void AllowanceBook::onMessage(std::string_view fromVm, const schema::AllowanceMessage &message,
                              Instant now)
{
    OrganisationAllowance *found = m_native->find(message.organisation());
    if (found != nullptr) {
        found->onMessage(fromVm, message, now);
    }
}

void AllowanceBook::onRead(std::string_view organisation, const RecordState &state, Instant now)
{
    OrganisationAllowance *found = m_native->find(organisation);
    if (found != nullptr) {
        found->onRead(state, now);
    }
}

void AllowanceBook::onWrite(std::string_view organisation, RecordWriteOutcome outcome, Instant now)
{
    OrganisationAllowance *found = m_native->find(organisation);
    if (found != nullptr) {
        found->onWrite(outcome, now);
    }
}

void AllowanceBook::tick(Instant now)
{
    for (auto &[name, organisation] : m_native->organisations) {
        organisation.tick(now);
    }
}

Actions AllowanceBook::takeActions()
{
    return std::exchange(m_native->environment.actions, Actions{});
}

void AllowanceBook::drain(Instant now)
{
    for (auto &[name, organisation] : m_native->organisations) {
        organisation.drain(now);
    }
}

ShareUnits AllowanceBook::share(std::string_view organisation) const
{
    const OrganisationAllowance *found = m_native->find(organisation);
    return found == nullptr ? 0 : found->share();
}

MicroTokens AllowanceBook::level(std::string_view organisation, Instant now) const
{
    const OrganisationAllowance *found = m_native->find(organisation);
    return found == nullptr ? 0 : found->level(now);
}

std::vector<std::string> AllowanceBook::members(std::string_view organisation) const
{
    std::vector<std::string> names;
    const OrganisationAllowance *found = m_native->find(organisation);
    if (found != nullptr) {
        for (const schema::DivisionMember &member : found->record().members()) {
            names.push_back(member.vm_id());
        }
    }
    return names;
}

size_t AllowanceBook::organisations() const
{
    return m_native->organisations.size();
}

} // namespace teaseldrift::allowance
