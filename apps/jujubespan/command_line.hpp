#ifndef JUJUBESPAN_APPS_COMMAND_LINE_HPP
#define JUJUBESPAN_APPS_COMMAND_LINE_HPP

#include "commands.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <optional>

namespace jujubespan::apps
{

/// @brief Parses the arguments of a command.
/// @return the exit code if the command must not run; otherwise empty.
inline std::optional<int> parse_arguments(TCLAP::CmdLine& command_line,
                                          arguments& args)
{
    command_line.setExceptionHandling(false);
    try
    {
        command_line.parse(args);
    }
    catch (const TCLAP::ArgException& error)
    {
        fmt::print(stderr, "{}: {} {}\n", command_line.getProgramName(),
                   error.error(), error.argId());
        return exit_usage;
    }
    catch (const TCLAP::ExitException& exit)
    {
        return exit.getExitStatus();
    }
    return std::nullopt;
}

} // namespace jujubespan::apps

#endif
