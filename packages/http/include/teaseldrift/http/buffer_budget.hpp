#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace teaseldrift::http {

class BufferAccount;

/// @brief Bounds the bytes of messages that a process buffers, summed over all that buffer some.
///
/// A bound for one message is none for a process with thousands of connections. When the sum
/// exceeds the limit, the largest buffers are given up until it does not.
///
/// Must be used on one event loop, and outlive its accounts.
class BufferBudget
{
public:
    /// @param limit in bytes
    explicit BufferBudget(size_t limit) : m_limit(limit) { }
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    [[nodiscard]] size_t limit() const { return m_limit; }
    /// @brief Bytes that are buffered now.
    [[nodiscard]] size_t bufferedBytes() const { return m_bufferedBytes; }
    /// @brief Number of buffers given up so far.
    [[nodiscard]] uint64_t givenUp() const { return m_givenUp; }

private:
    friend class BufferAccount;

    void set(BufferAccount &account, size_t bytes);
    void giveUpLargest();

    size_t m_limit;
    size_t m_bufferedBytes = 0;
    uint64_t m_givenUp = 0;
    /// Those with bytes.
    std::vector<BufferAccount *> m_accounts;
};

/// @brief What one message holds of a budget.
class BufferAccount
{
public:
    /// @param budget null for no limit
    /// @param onGivenUp must release the buffer; may destroy the account. May run within set() of
    /// any account of the budget.
    BufferAccount(BufferBudget *budget, std::function<void()> onGivenUp);
    ~BufferAccount();
    BufferAccount(const BufferAccount &) = delete;
    BufferAccount &operator=(const BufferAccount &) = delete;

    /// @brief Sets the number of bytes that the message holds.
    void set(size_t bytes);

private:
    friend class BufferBudget;

    BufferBudget *m_budget;
    std::function<void()> m_onGivenUp;
    size_t m_bytes = 0;
    /// Position in the budget's list while it has bytes.
    size_t m_position = 0;
};

} // namespace teaseldrift::http
