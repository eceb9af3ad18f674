#include "command_line.hpp"

#include <nlohmann/json.hpp>

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QUrl>

namespace jujubespan::apps
{

namespace
{

constexpr int response_timeout_ms = 3000;

// Fetches JSON from a node. Returns null if the request fails, and a discarded
// value if the response is not JSON.
nlohmann::json fetch_json(QNetworkAccessManager& network,
                          const std::string& node, const std::string& path)
{
    const auto url = fmt::format("http://{}{}", node, path);
    QNetworkRequest request{QUrl(QString::fromStdString(url))};
    request.setTransferTimeout(response_timeout_ms);
    QNetworkReply* reply = network.get(request);
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    reply->deleteLater();
    if (reply->error() != QNetworkReply::NoError)
    {
        fmt::print(stderr, "{}: {}\n", node,
                   reply->errorString().toStdString());
        return nullptr;
    }
    return nlohmann::json::parse(reply->readAll().toStdString(), nullptr,
                                 false);
}

} // namespace

int run_status(arguments args)
{
    TCLAP::CmdLine command_line("Shows the state of the given nodes", ' ',
                                JUJUBESPAN_VERSION);
    TCLAP::SwitchArg json("", "json", "Print JSON", command_line);
    TCLAP::UnlabeledMultiArg<std::string> nodes(
        "nodes", "Addresses of the nodes' operator endpoints", true,
        "host:port", command_line);
    if (const auto code = parse_arguments(command_line, args))
    {
        return *code;
    }
    QNetworkAccessManager network;
    auto document = nlohmann::json::array();
    bool all_responded = true;
    if (!json.getValue())
    {
        fmt::print("{:20} {:>9} {:>9} {:>6} {:>8} {:>7} {:>6} {:>8} {}\n",
                   "node", "contracts", "instances", "level", "running",
                   "queued", "limit", "ejected", "leaving");
    }
    for (const auto& node : nodes.getValue())
    {
        const auto report = fetch_json(network, node, "/status");
        if (!report.is_object())
        {
            all_responded = false;
            continue;
        }
        document.push_back(report);
        if (json.getValue())
        {
            continue;
        }
        std::size_t ejected = 0;
        for (const auto& service : report["ejected"].items())
        {
            ejected += service.value().get<std::size_t>();
        }
        fmt::print(
            "{:20} {:>9} {:>9} {:>6} {:>8} {:>7} {:>6} {:>8} {}\n",
            report["id"].get<std::string>(),
            report["contracts_revision"].get<std::uint64_t>(),
            report["instances_revision"].get<std::uint64_t>(),
            report["level"].get<unsigned>(), report["running"].get<unsigned>(),
            report["queued"].get<unsigned>(), report["limit"].get<unsigned>(),
            ejected, report["leaving"].get<bool>());
    }
    if (json.getValue())
    {
        fmt::print("{}\n", document.dump(2));
    }
    return all_responded ? exit_ok : exit_failed;
}

int run_explain(arguments args)
{
    TCLAP::CmdLine command_line("Shows why a request was not answered", ' ',
                                JUJUBESPAN_VERSION);
    TCLAP::SwitchArg json("", "json", "Print JSON", command_line);
    TCLAP::UnlabeledValueArg<std::string> request_id(
        "request", "X-Request-Id of the request", true, "", "id", command_line);
    TCLAP::UnlabeledMultiArg<std::string> nodes(
        "nodes", "Addresses of the nodes' operator endpoints", true,
        "host:port", command_line);
    if (const auto code = parse_arguments(command_line, args))
    {
        return *code;
    }
    QNetworkAccessManager network;
    auto document = nlohmann::json::array();
    const auto query =
        QUrl::toPercentEncoding(QString::fromStdString(request_id.getValue()))
            .toStdString();
    for (const auto& node : nodes.getValue())
    {
        const auto decisions =
            fetch_json(network, node, "/explain?request=" + query);
        for (const auto& decision : decisions)
        {
            document.push_back(decision);
            document.back()["node"] = node;
        }
    }
    if (json.getValue())
    {
        fmt::print("{}\n", document.dump(2));
        return document.empty() ? exit_failed : exit_ok;
    }
    for (const auto& decision : document)
    {
        fmt::print("{}: {} {}: {} of class {}, depth {}; shed key {}, level "
                   "here {}, level behind {}\n",
                   decision["node"].get<std::string>(),
                   decision["outcome"].get<std::string>(),
                   decision["reason"].get<std::string>(),
                   decision["method"].get<std::string>(),
                   decision["class"].get<std::string>(),
                   decision["depth"].get<unsigned>(),
                   decision["shed_key"].get<unsigned>(),
                   decision["own_level"].get<unsigned>(),
                   decision["downstream_level"].get<unsigned>());
    }
    if (document.empty())
    {
        fmt::print("no node remembers a refusal of request \"{}\"\n",
                   request_id.getValue());
    }
    return document.empty() ? exit_failed : exit_ok;
}

} // namespace jujubespan::apps
