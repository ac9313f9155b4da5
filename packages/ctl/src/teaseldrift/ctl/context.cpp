#include "teaseldrift/ctl/context.hpp"

#include <ostream>

#include <nlohmann/json.hpp>

namespace teaseldrift::ctl {

std::vector<http::Endpoint> Context::vms() const
{
    std::vector<http::Endpoint> endpoints;
    for (const std::string &address : vmAddresses) {
        http::Endpoint endpoint;
        if (http::parseEndpoint(address, endpoint)) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

ExitCode Context::fail(ExitCode code, const std::string &message) const
{
    err << "teaseldriftctl: " << message << "\n";
    return code;
}

void Context::show(const Table &table) const
{
    constexpr int indent = 2;
    if (!isJson()) {
        out << toText(table);
        return;
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const std::vector<std::string> &row : table.rows) {
        nlohmann::json object = nlohmann::json::object();
        for (size_t i = 0; i < row.size(); ++i) {
            object[table.header[i]] = row[i];
        }
        rows.push_back(object);
    }
    out << rows.dump(indent) << "\n";
}

} // namespace teaseldrift::ctl
