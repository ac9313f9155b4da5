#pragma once

#include <chrono>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/ctl/exit_code.hpp"
#include "teaseldrift/ctl/table.hpp"
#include "teaseldrift/http/message.hpp"

namespace teaseldrift::ctl {

/// @brief What all commands share: global flags, streams, and the command that was chosen.
struct Context
{
    std::ostream &out;
    std::ostream &err;
    std::string storeAddress = "127.0.0.1:2379";
    std::vector<std::string> vmAddresses;
    std::string prefix = "/teaseldrift/";
    std::string adminToken;
    std::string output = "table";
    bool noWait = false;
    bool dryRun = false;
    uint32_t waitSeconds = 10;
    /// Command to run once the command line is parsed.
    std::function<ExitCode()> command;

    [[nodiscard]] bool isJson() const { return output == "json"; }

    /// @brief The VMs of --vms. The command line is checked before, so all are valid.
    [[nodiscard]] std::vector<http::Endpoint> vms() const;

    /// @brief Writes a line to the error stream.
    /// @return the code that was passed in
    ExitCode fail(ExitCode code, const std::string &message) const;

    /// @brief Writes a table, as text or as JSON objects named by the head.
    void show(const Table &table) const;
};

} // namespace teaseldrift::ctl
