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

constexpr int answer_timeout = 3000; // milliseconds

// Reads JSON from a node; a null value when it does not answer.
nlohmann::json get(QNetworkAccessManager& network, const std::string& node,
                   const std::string& path)
{
    const auto url = fmt::format("http://{}{}", node, path);
    QNetworkRequest request{QUrl(QString::fromStdString(url))};
    request.setTransferTimeout(answer_timeout);
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

int status(arguments words)
{
    TCLAP::CmdLine line("Shows the state of each node asked", ' ',
                        JUJUBESPAN_VERSION);
    TCLAP::SwitchArg json("", "json", "Print JSON", line);
    TCLAP::UnlabeledMultiArg<std::string> nodes(
        "nodes", "Operators' addresses of nodes", true, "host:port", line);
    if (const auto code = parse(line, words))
    {
        return *code;
    }
    QNetworkAccessManager network;
    auto document = nlohmann::json::array();
    bool good = true;
    if (!json.getValue())
    {
        fmt::print("{:20} {:>9} {:>9} {:>6} {:>8} {:>7} {:>6} {:>8} {}\n",
                   "node", "contracts", "instances", "level", "running",
                   "queued", "limit", "ejected", "leaving");
    }
    for (const auto& node : nodes.getValue())
    {
        const auto value = get(network, node, "/status");
        if (!value.is_object())
        {
            good = false;
            continue;
        }
        document.push_back(value);
        if (json.getValue())
        {
            continue;
        }
        std::size_t ejected = 0;
        for (const auto& item : value["ejected"].items())
        {
            ejected += item.value().get<std::size_t>();
        }
        fmt::print(
            "{:20} {:>9} {:>9} {:>6} {:>8} {:>7} {:>6} {:>8} {}\n",
            value["id"].get<std::string>(),
            value["contracts_revision"].get<std::uint64_t>(),
            value["instances_revision"].get<std::uint64_t>(),
            value["level"].get<unsigned>(), value["running"].get<unsigned>(),
            value["queued"].get<unsigned>(), value["limit"].get<unsigned>(),
            ejected, value["leaving"].get<bool>());
    }
    if (json.getValue())
    {
        fmt::print("{}\n", document.dump(2));
    }
    return good ? exit_ok : exit_failed;
}

int explain(arguments words)
{
    TCLAP::CmdLine line("Shows why a request ended as it did", ' ',
                        JUJUBESPAN_VERSION);
    TCLAP::SwitchArg json("", "json", "Print JSON", line);
    TCLAP::UnlabeledValueArg<std::string> id(
        "request", "X-Request-Id of the request", true, "", "id", line);
    TCLAP::UnlabeledMultiArg<std::string> nodes(
        "nodes", "Operators' addresses of nodes", true, "host:port", line);
    if (const auto code = parse(line, words))
    {
        return *code;
    }
    QNetworkAccessManager network;
    auto document = nlohmann::json::array();
    const auto query =
        QUrl::toPercentEncoding(QString::fromStdString(id.getValue()))
            .toStdString();
    for (const auto& node : nodes.getValue())
    {
        const auto value = get(network, node, "/explain?request=" + query);
        for (const auto& item : value)
        {
            document.push_back(item);
            document.back()["node"] = node;
        }
    }
    if (json.getValue())
    {
        fmt::print("{}\n", document.dump(2));
        return document.empty() ? exit_failed : exit_ok;
    }
    for (const auto& item : document)
    {
        fmt::print(
            "{}: {} {}: {} of class {}, depth {}; shed key {}, level "
            "here {}, level behind {}\n",
            item["node"].get<std::string>(), item["outcome"].get<std::string>(),
            item["reason"].get<std::string>(),
            item["method"].get<std::string>(), item["class"].get<std::string>(),
            item["depth"].get<unsigned>(), item["shed_key"].get<unsigned>(),
            item["own_level"].get<unsigned>(),
            item["downstream_level"].get<unsigned>());
    }
    if (document.empty())
    {
        fmt::print("no node remembers a refusal of request \"{}\"\n",
                   id.getValue());
    }
    return document.empty() ? exit_failed : exit_ok;
}

} // namespace jujubespan::apps
