#include "teaseldrift/http/buffer_budget.hpp"

#include <algorithm>
#include <utility>

namespace teaseldrift::http {

void BufferBudget::set(BufferAccount &account, size_t bytes)
{
    if (account.m_bytes == 0 && bytes > 0) {
        account.m_position = m_accounts.size();
        m_accounts.push_back(&account);
    } else if (account.m_bytes > 0 && bytes == 0) {
        m_accounts.back()->m_position = account.m_position;
        std::swap(m_accounts[account.m_position], m_accounts.back());
        m_accounts.pop_back();
    }
    m_bufferedBytes = m_bufferedBytes - account.m_bytes + bytes;
    account.m_bytes = bytes;
}

void BufferBudget::giveUpLargest()
{
    BufferAccount *largest = *std::max_element(
            m_accounts.begin(), m_accounts.end(),
            [](const BufferAccount *a, const BufferAccount *b) { return a->m_bytes < b->m_bytes; });
    ++m_givenUp;
    set(*largest, 0);
    // The callback may destroy the account.
    const std::function<void()> callback = largest->m_onGivenUp;
    callback();
}

BufferAccount::BufferAccount(BufferBudget *budget, std::function<void()> onGivenUp)
    : m_budget(budget), m_onGivenUp(std::move(onGivenUp))
{ }

BufferAccount::~BufferAccount()
{
    set(0);
}

void BufferAccount::set(size_t bytes)
{
    if (m_budget == nullptr || bytes == m_bytes) {
        return;
    }
    BufferBudget &budget = *m_budget;
    const bool isMore = bytes > m_bytes;
    budget.set(*this, bytes);
    while (isMore && budget.m_bufferedBytes > budget.m_limit) {
        budget.giveUpLargest();
    }
}

} // namespace teaseldrift::http
