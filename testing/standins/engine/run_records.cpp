#include "standins/engine/run_records.hpp"

#include <nlohmann/json.hpp>

namespace teaseldrift::standins {

namespace {

constexpr size_t maxRecords = 100'000;

} // namespace

RunRecord &RunRecords::findOrCreate(const std::string &requestId)
{
    if (!m_records.contains(requestId)) {
        m_order.push_back(requestId);
        if (m_order.size() > maxRecords) {
            m_records.erase(m_order.front());
            m_order.pop_front();
        }
    }
    return m_records[requestId];
}

std::string RunRecords::toJson() const
{
    nlohmann::json byRequest = nlohmann::json::object();
    uint64_t runs = 0;
    uint64_t resumes = 0;
    for (auto it = m_records.begin(); it != m_records.end(); ++it) {
        byRequest[it->first] = it->second.runs;
        runs += it->second.runs;
        resumes += it->second.resumes;
    }
    const nlohmann::json all = {{"requests", m_records.size()},
                                {"runs", runs},
                                {"resumes", resumes},
                                {"keys_seen", m_keysSeen},
                                {"by_request", byRequest}};
    return all.dump();
}

} // namespace teaseldrift::standins
