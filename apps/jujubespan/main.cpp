// The operators' command.

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
    {"check", "check contracts before they are published", apps::check},
    {"diff", "show what a changed contract changes in force", apps::diff},
    {"status", "show the state of each node asked", apps::status},
    {"explain", "show why a request ended as it did", apps::explain},
    {"load", "send open-loop load and report by class", apps::load},
}};

void print_usage(std::FILE* out)
{
    fmt::print(out, "usage: jujubespan COMMAND [ARGUMENT...]\n\n");
    for (const auto& item : commands)
    {
        fmt::print(out, "  {:8} {}\n", item.name, item.summary);
    }
    fmt::print(out, "\n'jujubespan COMMAND --help' lists its arguments.\n"
                    "Exit codes: 0 done, 1 a problem was found, 2 wrong "
                    "usage or file.\n");
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
    for (const auto& item : commands)
    {
        if (item.name == name)
        {
            apps::arguments words(argv + 1, argv + argc);
            words[0] = fmt::format("jujubespan {}", name);
            return item.run(std::move(words));
        }
    }
    fmt::print(stderr, "jujubespan: \"{}\" is not a command\n", name);
    print_usage(stderr);
    return apps::exit_usage;
}
