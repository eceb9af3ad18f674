// The node that runs beside one backend server instance.

#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"
#include "jujubespan/node/node.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>

namespace
{

constexpr int exit_bad_settings = 2;

} // namespace

int main(int argc, char** argv)
{
    std::string path;
    bool check_only = false;
    try
    {
        TCLAP::CmdLine line("Overload control node for one backend server", ' ',
                            JUJUBESPAN_VERSION);
        TCLAP::UnlabeledValueArg<std::string> file(
            "settings", "Settings file, JSON with comments", true, "", "file",
            line);
        TCLAP::SwitchArg check("", "check", "Check the settings and exit",
                               line);
        line.parse(argc, argv);
        path = file.getValue();
        check_only = check.getValue();
    }
    catch (const TCLAP::ArgException& error)
    {
        fmt::print(stderr, "{}: {}\n", error.argId(), error.error());
        return exit_bad_settings;
    }
    namespace config = jujubespan::config;
    const auto text = config::read_file(path);
    if (!text.ok())
    {
        fmt::print(stderr, "{}\n", jujubespan::text_of(text.status()));
        return exit_bad_settings;
    }
    const auto options = config::parse_settings(*text, path);
    if (!options.ok())
    {
        fmt::print(stderr, "{}\n", jujubespan::text_of(options.status()));
        return exit_bad_settings;
    }
    if (check_only)
    {
        return 0;
    }
    return jujubespan::node::run_node(*options, argc, argv);
}
