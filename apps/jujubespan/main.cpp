// Command-line tool for operators.

#include "commands.hpp"

#include <fmt/format.h>

#include <QCoreApplication>

#include <array>
#include <cstdio>
#include <string_view>

namespace
{

namespace apps = jujubespan::apps;

struct command
{
    std::string_view name;
    std::string_view summary;
    int (*run)(apps::arguments);
};

constexpr std::array<command, 5> commands{{
    {"check", "check contracts before they are published", apps::run_check},
    {"diff", "show the effective changes between two versions of a contract",
     apps::run_diff},
    {"status", "show the state of the given nodes", apps::run_status},
    {"explain", "show why a request was not answered", apps::run_explain},
    {"load",
     "send open-loop load and print the results of each kind of request",
     apps::run_load},
}};

void print_usage(std::FILE* out)
{
    fmt::print(out, "usage: jujubespan COMMAND [ARGUMENT...]\n\n");
    for (const auto& command : commands)
    {
        fmt::print(out, "  {:8} {}\n", command.name, command.summary);
    }
    fmt::print(out, "\n'jujubespan COMMAND --help' lists its arguments.\n"
                    "Exit codes: 0 done, 1 a problem was found, 2 invalid "
                    "arguments or input file.\n");
}

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication app(argc, argv);
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--version")
    {
        fmt::print("jujubespan {}\n", JUJUBESPAN_VERSION);
        return apps::exit_ok;
    }
    if (name.empty() || name == "--help" || name == "-h")
    {
        print_usage(name.empty() ? stderr : stdout);
        return name.empty() ? apps::exit_usage : apps::exit_ok;
    }
    for (const auto& command : commands)
    {
        if (command.name == name)
        {
            apps::arguments args(argv + 1, argv + argc);
            args[0] = fmt::format("jujubespan {}", name);
            return command.run(std::move(args));
        }
    }
    fmt::print(stderr, "jujubespan: \"{}\" is not a command\n", name);
    print_usage(stderr);
    return apps::exit_usage;
}
