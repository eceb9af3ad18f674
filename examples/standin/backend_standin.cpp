// Runs a stand-in for one backend server.

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

int fail(const std::string& message)
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
    int true_slots = 0;
    try
    {
        TCLAP::CmdLine line("Stand-in for one backend server", ' ', "0");
        TCLAP::ValueArg<int> slots_arg(
            "", "slots", "True slots, when not those of the settings", false, 0,
            "number", line);
        TCLAP::UnlabeledValueArg<std::string> settings_arg(
            "settings", "Settings of its node", true, "", "file", line);
        TCLAP::UnlabeledValueArg<std::string> script_arg(
            "script", "What its methods do", true, "", "file", line);
        line.parse(argc, argv);
        settings_path = settings_arg.getValue();
        script_path = script_arg.getValue();
        true_slots = slots_arg.getValue();
    }
    catch (const TCLAP::ArgException& error)
    {
        return fail(error.error());
    }
    const auto settings_text = jj::config::read_file(settings_path);
    const auto script_text = jj::config::read_file(script_path);
    if (!settings_text.ok() || !script_text.ok())
    {
        return fail(jj::text_of(settings_text.status()) +
                    jj::text_of(script_text.status()));
    }
    const auto options =
        jj::config::parse_settings(*settings_text, settings_path);
    if (!options.ok())
    {
        return fail(jj::text_of(options.status()));
    }
    auto script = standin::parse_script(*script_text, script_path);
    if (!script.ok())
    {
        return fail(jj::text_of(script.status()));
    }
    const std::size_t slots =
        true_slots > 0 ? static_cast<std::size_t>(true_slots) : options->slots;
    standin::work_server server(*std::move(script), slots,
                                options->outbound_address);
    const auto status = server.listen(options->backend_address);
    return status.ok() ? QCoreApplication::exec() : fail(jj::text_of(status));
}
