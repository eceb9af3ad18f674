#ifndef JUJUBESPAN_APPS_COMMAND_LINE_HPP
#define JUJUBESPAN_APPS_COMMAND_LINE_HPP

#include "commands.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <optional>

namespace jujubespan::apps
{

/// @brief Parses the words of a command.
/// @return the exit code when the command must not run.
inline std::optional<int> parse(TCLAP::CmdLine& line, arguments& words)
{
    line.setExceptionHandling(false);
    try
    {
        line.parse(words);
    }
    catch (const TCLAP::ArgException& error)
    {
        fmt::print(stderr, "{}: {} {}\n", line.getProgramName(), error.error(),
                   error.argId());
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
