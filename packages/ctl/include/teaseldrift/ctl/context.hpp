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

/// @brief State shared by all commands: global flags, output streams, and the selected command.
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
    /// Command to run after the command line has been parsed.
    std::function<ExitCode()> command;

    [[nodiscard]] bool isJson() const { return output == "json"; }

    /// @brief Endpoints given by --vms, which were validated when the command line was parsed.
    [[nodiscard]] std::vector<http::Endpoint> vms() const;

    /// @brief Writes an error message to the error stream.
    /// @return `code`, so that a command can return the result of this call
    ExitCode fail(ExitCode code, const std::string &message) const;

    /// @brief Prints a table as text, or as JSON objects whose fields are named by the header.
    void show(const Table &table) const;
};

} // namespace teaseldrift::ctl
