// Runs a stand-in for the platform.

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

int fail(const std::string& message)
{
    fmt::print(stderr, "{}\n", message);
    return 2;
}

// Publishes a node, as its settings describe it, in the instance list.
absl::Status publish_node(standin::platform_server& server,
                          const std::string& path)
{
    const auto text = jj::config::read_file(path);
    if (!text.ok())
    {
        return text.status();
    }
    const auto options = jj::config::parse_settings(*text, path);
    if (!options.ok())
    {
        return options.status();
    }
    jj::instance value;
    value.service = options->service;
    value.failure_domain = options->failure_domain;
    value.call_address = jj::config::to_string(options->call_address);
    value.control_address = jj::config::to_string(options->control_address);
    value.public_key = options->keys.public_key;
    value.slots = options->slots;
    server.put(jj::topic::instances, options->id,
               jj::platform::format_instance(value));
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
    const auto terms = jj::config::parse_contract(*text, path);
    if (!terms.ok())
    {
        return terms.status();
    }
    server.put(jj::topic::contracts, terms->customer, *text);
    return absl::OkStatus();
}

} // namespace

int main(int argc, char** argv)
{
    jj::http::raise_descriptor_limit();
    QCoreApplication app(argc, argv);
    std::string host;
    int port = 0;
    std::vector<std::string> nodes;
    std::vector<std::string> contracts;
    try
    {
        TCLAP::CmdLine line("Stand-in for the platform", ' ', "0");
        TCLAP::ValueArg<std::string> host_arg("", "host", "IP number", false,
                                              "127.0.0.1", "ip", line);
        TCLAP::ValueArg<int> port_arg("", "port", "Port", true, 0, "port",
                                      line);
        TCLAP::MultiArg<std::string> contract_args(
            "c", "contract", "Contract to publish", false, "file", line);
        TCLAP::UnlabeledMultiArg<std::string> node_args(
            "nodes", "Settings of the nodes to list", false, "file", line);
        line.parse(argc, argv);
        host = host_arg.getValue();
        port = port_arg.getValue();
        nodes = node_args.getValue();
        contracts = contract_args.getValue();
    }
    catch (const TCLAP::ArgException& error)
    {
        return fail(error.error());
    }
    standin::platform_server server;
    for (const auto& path : contracts)
    {
        if (auto status = publish_contract(server, path); !status.ok())
        {
            return fail(jj::text_of(status));
        }
    }
    for (const auto& path : nodes)
    {
        if (auto status = publish_node(server, path); !status.ok())
        {
            return fail(jj::text_of(status));
        }
    }
    const auto status = server.listen({host, static_cast<std::uint16_t>(port)});
    return status.ok() ? QCoreApplication::exec() : fail(jj::text_of(status));
}
