// Program that runs a stand-in for one backend server.

#include "standin/work_server.hpp"

#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"
#include "jujubespan/http/descriptor_limit.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <QCoreApplication>

#include <cstdio>

namespace
{

namespace jj = jujubespan;

// Prints a message and returns the exit status of a failure.
int report_error(const std::string& message)
{
    fmt::print(stderr, "{}\n", message);
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    jj::http::raise_descriptor_limit();
    QCoreApplication app(argc, argv);
    std::string settings_path;
    std::string script_path;
    int slots_override = 0;
    try
    {
        TCLAP::CmdLine command_line("Stand-in for one backend server", ' ',
                                    "0");
        TCLAP::ValueArg<int> slots_arg(
            "", "slots", "Number of slots, if it differs from the settings",
            false, 0, "number", command_line);
        TCLAP::UnlabeledValueArg<std::string> settings_arg(
            "settings", "Settings file of the node beside this server", true,
            "", "file", command_line);
        TCLAP::UnlabeledValueArg<std::string> script_arg(
            "script", "Script file: work time and calls of each method", true,
            "", "file", command_line);
        command_line.parse(argc, argv);
        settings_path = settings_arg.getValue();
        script_path = script_arg.getValue();
        slots_override = slots_arg.getValue();
    }
    catch (const TCLAP::ArgException& error)
    {
        return report_error(error.error());
    }
    const auto settings_text = jj::config::read_file(settings_path);
    const auto script_text = jj::config::read_file(script_path);
    if (!settings_text.ok() || !script_text.ok())
    {
        return report_error(jj::text_of(settings_text.status()) +
                            jj::text_of(script_text.status()));
    }
    const auto settings =
        jj::config::parse_settings(*settings_text, settings_path);
    if (!settings.ok())
    {
        return report_error(jj::text_of(settings.status()));
    }
    auto script = standin::parse_script(*script_text, script_path);
    if (!script.ok())
    {
        return report_error(jj::text_of(script.status()));
    }
    const std::size_t slots = slots_override > 0
                                  ? static_cast<std::size_t>(slots_override)
                                  : settings->slots;
    standin::work_server server(*std::move(script), slots,
                                settings->outbound_address);
    const auto status = server.listen(settings->backend_address);
    return status.ok() ? QCoreApplication::exec()
                       : report_error(jj::text_of(status));
}
