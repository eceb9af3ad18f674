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

constexpr int exit_bad_settings = 2;

struct command
{
    std::string file;
    bool check_only{false};
    bool mesh{false};
};

command parse_command(int argc, char** argv)
{
    TCLAP::CmdLine line("Overload control node for one backend server", ' ',
                        JUJUBESPAN_VERSION);
    TCLAP::UnlabeledValueArg<std::string> file(
        "settings", "Settings file, JSON with comments", true, "", "file",
        line);
    TCLAP::SwitchArg check("", "check", "Check the settings and exit", line);
    TCLAP::SwitchArg mesh("", "mesh",
                          "Route requests between services by the "
                          "configuration of the metadata store",
                          line);
    line.parse(argc, argv);
    return {file.getValue(), check.getValue(), mesh.getValue()};
}

int report(const absl::Status& status)
{
    fmt::print(stderr, "{}\n", jujubespan::text_of(status));
    return exit_bad_settings;
}

} // namespace

int main(int argc, char** argv)
{
    command chosen;
    try
    {
        chosen = parse_command(argc, argv);
    }
    catch (const TCLAP::ArgException& error)
    {
        fmt::print(stderr, "{}: {}\n", error.argId(), error.error());
        return exit_bad_settings;
    }
    namespace config = jujubespan::config;
    const auto text = config::read_file(chosen.file);
    if (!text.ok())
    {
        return report(text.status());
    }
    if (chosen.mesh)
    {
        const auto options = config::parse_mesh_settings(*text, chosen.file);
        if (!options.ok())
        {
            return report(options.status());
        }
        const jujubespan::store_adapter::adapter platform;
        return chosen.check_only
                   ? 0
                   : jujubespan::node::run_mesh_node(*options, chosen.file,
                                                     platform, argc, argv);
    }
    const auto options = config::parse_settings(*text, chosen.file);
    if (!options.ok())
    {
        return report(options.status());
    }
    return chosen.check_only ? 0
                             : jujubespan::node::run_node(*options, argc, argv);
}
