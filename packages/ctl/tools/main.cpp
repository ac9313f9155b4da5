/// teaseldriftctl: command-line tool for operators.

#include <iostream>
#include <string>
#include <vector>

#include "teaseldrift/ctl/command_line.hpp"

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(teaseldrift::ctl::runCommandLine(arguments, std::cout, std::cerr));
}
