#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift::standins {

/// @brief Record of one request.
struct RunRecord
{
    uint32_t runs = 0;
    uint32_t resumes = 0;
    /// Tokens generated when the connection closed; meaningful until `resumableUntil`.
    uint32_t generated = 0;
    Instant resumableUntil{};
};

/// @brief Records of the most recent requests by x-request-id.
class RunRecords
{
public:
    /// @brief Returns the record of a request; creates it if there is none.
    RunRecord &findOrCreate(const std::string &requestId);

    /// @brief Counts a request with an API key. The router must never forward a key to a target.
    void countKeySeen() { ++m_keysSeen; }

    /// @brief All records as JSON:
    /// `{"requests": N, "runs": N, "resumes": N, "keys_seen": N, "by_request": {id: runs}}`.
    [[nodiscard]] std::string toJson() const;

private:
    std::unordered_map<std::string, RunRecord> m_records;
    std::deque<std::string> m_order;
    uint64_t m_keysSeen = 0;
};

} // namespace teaseldrift::standins
