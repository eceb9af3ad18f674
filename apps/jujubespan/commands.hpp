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
    exit_usage = 2   ///< The arguments or an input file are invalid.
};

/// @brief Arguments of a command, preceded by the name of the command.
using arguments = std::vector<std::string>;

/// @brief Checks contracts before they are published.
int run_check(arguments args);

/// @brief Prints the effective changes between two versions of a contract.
int run_diff(arguments args);

/// @brief Prints the state of the given nodes.
int run_status(arguments args);

/// @brief Prints why a request was not answered.
int run_explain(arguments args);

/// @brief Sends open-loop load and prints the results of each kind of request.
int run_load(arguments args);

} // namespace jujubespan::apps

#endif
