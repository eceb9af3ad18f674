// Program that runs a stand-in for the platform.

#include "standin/platform_server.hpp"

#include "jujubespan/config/contract.hpp"
#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"
#include "jujubespan/http/descriptor_limit.hpp"
#include "jujubespan/platform/codec.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <QCoreApplication>

#include <charconv>
#include <cstdio>
#include <optional>

namespace
{

namespace jj = jujubespan;

// Prints a message and returns the exit status of a failure.
int report_error(const std::string& message)
{
    fmt::print(stderr, "{}\n", message);
    return 2;
}

// Publishes the node of a settings file in the instance list.
absl::Status publish_node(standin::platform_server& server,
                          const std::string& path)
{
    const auto text = jj::config::read_file(path);
    if (!text.ok())
    {
        return text.status();
    }
    const auto settings = jj::config::parse_settings(*text, path);
    if (!settings.ok())
    {
        return settings.status();
    }
    jj::instance entry;
    entry.service = settings->service;
    entry.failure_domain = settings->failure_domain;
    entry.call_address = jj::config::to_string(settings->call_address);
    entry.control_address = jj::config::to_string(settings->control_address);
    entry.public_key = settings->keys.public_key;
    entry.slots = settings->slots;
    server.put_entry(jj::topic::instances, settings->id,
                     jj::platform::format_instance(entry));
    return absl::OkStatus();
}

absl::Status publish_contract(standin::platform_server& server,
                              const std::string& path)
{
    const auto text = jj::config::read_file(path);
    if (!text.ok())
    {
        return text.status();
    }
    const auto contract = jj::config::parse_contract(*text, path);
    if (!contract.ok())
    {
        return contract.status();
    }
    server.put_entry(jj::topic::contracts, contract->customer, *text);
    return absl::OkStatus();
}

} // namespace

int main(int argc, char** argv)
{
    jj::http::raise_descriptor_limit();
    QCoreApplication app(argc, argv);
    std::string host;
    int port = 0;
    std::vector<std::string> settings_paths;
    std::vector<std::string> contract_paths;
    try
    {
        TCLAP::CmdLine command_line("Stand-in for the platform", ' ', "0");
        TCLAP::ValueArg<std::string> host_arg("", "host",
                                              "IP address to listen on", false,
                                              "127.0.0.1", "ip", command_line);
        TCLAP::ValueArg<int> port_arg("", "port", "Port", true, 0, "port",
                                      command_line);
        TCLAP::MultiArg<std::string> contract_args("c", "contract",
                                                   "Contract file to publish",
                                                   false, "file", command_line);
        TCLAP::UnlabeledMultiArg<std::string> node_args(
            "nodes",
            "Settings files of the nodes to publish in the instance list",
            false, "file", command_line);
        command_line.parse(argc, argv);
        host = host_arg.getValue();
        port = port_arg.getValue();
        settings_paths = node_args.getValue();
        contract_paths = contract_args.getValue();
    }
    catch (const TCLAP::ArgException& error)
    {
        return report_error(error.error());
    }
    standin::platform_server server;
    for (const auto& path : contract_paths)
    {
        if (auto status = publish_contract(server, path); !status.ok())
        {
            return report_error(jj::text_of(status));
        }
    }
    for (const auto& path : settings_paths)
    {
        if (auto status = publish_node(server, path); !status.ok())
        {
            return report_error(jj::text_of(status));
        }
    }
    const auto status = server.listen({host, static_cast<std::uint16_t>(port)});
    return status.ok() ? QCoreApplication::exec()
                       : report_error(jj::text_of(status));
}
