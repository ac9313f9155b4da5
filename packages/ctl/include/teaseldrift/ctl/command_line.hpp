#pragma once

#include <iosfwd>
#include <span>
#include <string>

#include "teaseldrift/ctl/exit_code.hpp"

namespace teaseldrift::ctl {

/// @brief Runs one command of teaseldriftctl.
///
/// ```cpp
/// const std::vector<std::string> arguments = {"organisation", "list"};
/// ExitCode code = runCommandLine(arguments, std::cout, std::cerr);
/// ```
/// @param arguments the command line without the program name
ExitCode runCommandLine(std::span<const std::string> arguments, std::ostream &out,
                        std::ostream &err);

} // namespace teaseldrift::ctl
