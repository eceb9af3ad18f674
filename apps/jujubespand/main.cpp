// The node that runs beside one backend server instance.

#include "adapter.hpp"

#include "jujubespan/config/mesh_settings.hpp"
#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"
#include "jujubespan/node/mesh_node.hpp"
#include "jujubespan/node/node.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>

namespace
{

constexpr int exit_usage = 2; // invalid arguments or settings

struct command_options
{
    std::string settings_file;
    bool check_only{false};
    bool mesh{false};
};

command_options parse_command_line(int argc, char** argv)
{
    TCLAP::CmdLine command_line("Overload control node for one backend server",
                                ' ', JUJUBESPAN_VERSION);
    TCLAP::UnlabeledValueArg<std::string> file(
        "settings", "Settings file, JSON with comments", true, "", "file",
        command_line);
    TCLAP::SwitchArg check("", "check", "Check the settings and exit",
                           command_line);
    TCLAP::SwitchArg mesh("", "mesh",
                          "Route requests between services as configured in "
                          "the metadata store",
                          command_line);
    command_line.parse(argc, argv);
    return {file.getValue(), check.getValue(), mesh.getValue()};
}

int print_error(const absl::Status& status)
{
    fmt::print(stderr, "{}\n", jujubespan::text_of(status));
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    command_options options;
    try
    {
        options = parse_command_line(argc, argv);
    }
    catch (const TCLAP::ArgException& error)
    {
        fmt::print(stderr, "{}: {}\n", error.argId(), error.error());
        return exit_usage;
    }
    namespace config = jujubespan::config;
    const auto text = config::read_file(options.settings_file);
    if (!text.ok())
    {
        return print_error(text.status());
    }
    if (options.mesh)
    {
        const auto settings =
            config::parse_mesh_settings(*text, options.settings_file);
        if (!settings.ok())
        {
            return print_error(settings.status());
        }
        const jujubespan::store_adapter::adapter platform;
        return options.check_only
                   ? 0
                   : jujubespan::node::run_mesh_node(*settings,
                                                     options.settings_file,
                                                     platform, argc, argv);
    }
    const auto settings = config::parse_settings(*text, options.settings_file);
    if (!settings.ok())
    {
        return print_error(settings.status());
    }
    return options.check_only
               ? 0
               : jujubespan::node::run_node(*settings, argc, argv);
}
