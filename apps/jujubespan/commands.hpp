#ifndef JUJUBESPAN_APPS_COMMANDS_HPP
#define JUJUBESPAN_APPS_COMMANDS_HPP

#include <span>
#include <string>
#include <vector>

namespace jujubespan::apps
{

/// @brief Exit codes of every command.
enum exit_code
{
    exit_ok = 0,
    exit_failed = 1, ///< The command ran and found a problem.
    exit_usage = 2   ///< The command line or a file is wrong.
};

/// @brief Words after the command's name, the name first.
using arguments = std::vector<std::string>;

/// @brief Checks contracts.
int check(arguments words);

/// @brief Prints what a changed contract changes in force.
int diff(arguments words);

/// @brief Prints the state of each node asked.
int status(arguments words);

/// @brief Prints why a request ended as it did.
int explain(arguments words);

/// @brief Sends open-loop load and reports by class.
int load(arguments words);

} // namespace jujubespan::apps

#endif
