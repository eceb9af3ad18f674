#include "standin/work_server.hpp"

#include "jujubespan/config/object_reader.hpp"

#include <fmt/format.h>

#include <QTimer>
#include <QUrlQuery>

#include <sstream>

namespace standin
{

namespace jj = jujubespan;

namespace
{

constexpr std::size_t max_queue = 2000;
constexpr std::size_t max_node_connections = 512;

jj::config::bounds bounds()
{
    jj::config::bounds value;
    value.max_connections = 4000;
    value.idle_timeout = std::chrono::seconds(30);
    return value;
}

} // namespace

absl::StatusOr<work_script> parse_script(std::string_view text,
                                         std::string_view file)
{
    jj::config::diagnostics errors{std::string(file)};
    const auto document = jj::config::parse_json(text, errors);
    if (!document)
    {
        return errors.status();
    }
    const auto* methods = std::get_if<jj::config::json_object>(&document->data);
    work_script script;
    for (const auto& [name, value] : *methods)
    {
        jj::config::object_reader reader(value, name, errors);
        auto& method = script[name];
        method.work_ms = reader.number_or("work_ms", 1, 0, 60'000);
        for (const auto& call : reader.strings_or_empty("calls"))
        {
            std::istringstream words(call);
            sub_call parsed;
            words >> parsed.service >> parsed.verb >> parsed.target;
            method.calls.push_back(parsed);
        }
        reader.finish();
    }
    if (!errors.ok())
    {
        return errors.status();
    }
    return script;
}

work_server::work_server(work_script script, std::size_t slots,
                         const jj::config::endpoint& node)
    : script_(std::move(script)), slots_(slots), server_(bounds(), *this),
      node_(node, {}, max_node_connections, *this)
{
}

absl::Status work_server::listen(const jj::config::endpoint& address)
{
    return server_.listen(address);
}

void work_server::on_request(std::uint64_t exchange, jj::http_request request)
{
    const std::string path(jj::path_of(request.target));
    if (path == "/standin")
    {
        on_control(exchange, request);
        return;
    }
    const auto found = script_.find(request.method + " " + path);
    if (found == script_.end() || queue_.size() >= max_queue)
    {
        jj::http_response response;
        response.status = found == script_.end() ? 404 : 503;
        server_.respond(exchange, response);
        return;
    }
    job added;
    added.exchange = exchange;
    added.number = next_number_++;
    added.request = std::move(request);
    added.script = &found->second;
    queue_.push_back(std::move(added));
    pump();
}

void work_server::pump()
{
    while (!queue_.empty() && running_.size() < slots_)
    {
        job next = std::move(queue_.front());
        queue_.pop_front();
        ++started_;
        if (!next.request.body.empty() &&
            ++runs_by_body_[next.request.body] > 1)
        {
            ++repeated_;
        }
        const auto number = next.number;
        step(running_.emplace(number, std::move(next)).first->second);
    }
}

void work_server::step(job& current)
{
    const auto number = current.number;
    if (current.next_call < current.script->calls.size())
    {
        const auto& call = current.script->calls[current.next_call];
        jj::http_request request;
        request.method = call.verb;
        request.target = call.target;
        request.headers = {{"Host", call.service},
                           {"Jujubespan-Token",
                            std::string(jj::find_header(current.request.headers,
                                                        "Jujubespan-Token"))}};
        if (call.verb == "POST")
        {
            request.headers.push_back(
                {"Idempotency-Key", fmt::format("{}", current.next_call)});
            request.body = current.request.body;
        }
        ++current.next_call;
        node_.start(number, request);
        return;
    }
    const auto work = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(current.script->work_ms *
                                                  slow_));
    QTimer::singleShot(work, Qt::PreciseTimer, &guard_,
                       [this, number] { end(number, 200, "{\"ok\":true}\n"); });
}

void work_server::on_exchange_end(std::uint64_t number,
                                  jj::http::exchange_result end_kind,
                                  jj::http_response response)
{
    const auto found = running_.find(number);
    if (found == running_.end())
    {
        return;
    }
    constexpr unsigned first_error = 400;
    const bool good = end_kind == jj::http::exchange_result::answered &&
                      response.status < first_error;
    if (!good)
    {
        end(number, 502, "{\"ok\":false}\n");
        return;
    }
    step(found->second);
}

void work_server::end(std::uint64_t number, unsigned status, std::string body)
{
    const auto found = running_.find(number);
    if (found == running_.end())
    {
        return;
    }
    const job finished = std::move(found->second);
    running_.erase(found);
    jj::http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = std::move(body);
    server_.respond(finished.exchange, response);
    pump();
}

void work_server::on_client_disconnected(std::uint64_t exchange)
{
    std::erase_if(queue_,
                  [&](const job& item) { return item.exchange == exchange; });
    for (const auto& [number, item] : running_)
    {
        if (item.exchange == exchange)
        {
            ++cancelled_;
            node_.cancel(number);
            running_.erase(number);
            break;
        }
    }
    pump();
}

void work_server::on_control(std::uint64_t exchange,
                             const jj::http_request& request)
{
    const auto mark = request.target.find('?');
    if (request.method == "PUT" && mark != std::string::npos)
    {
        const QUrlQuery query(
            QString::fromStdString(request.target.substr(mark + 1)));
        slow_ = query.queryItemValue("slow").toDouble();
    }
    jj::http_response response;
    response.status = 200;
    response.body = fmt::format(
        "{{\"started\":{},\"cancelled\":{},\"repeated\":{},\"running\":{},"
        "\"queued\":{}}}\n",
        started_, cancelled_, repeated_, running_.size(), queue_.size());
    server_.respond(exchange, response);
}

} // namespace standin
