#pragma once

#include <iosfwd>
#include <span>
#include <string>

#include "teaseldrift/ctl/exit_code.hpp"

namespace teaseldrift::ctl {

/// @brief Runs one command of teaseldriftctl.
///
/// ```cpp
/// const std::vector<std::string> words = {"organisation", "list"};
/// ExitCode code = runCommandLine(words, std::cout, std::cerr);
/// ```
/// @param words the command line without the program's name
ExitCode runCommandLine(std::span<const std::string> arguments, std::ostream &out,
                        std::ostream &err);

} // namespace teaseldrift::ctl
