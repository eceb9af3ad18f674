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

// Requests above this limit are answered with 503.
constexpr std::size_t max_queued_requests = 2000;
constexpr std::size_t max_idle_node_connections = 512;

jj::config::resource_limits server_bounds()
{
    jj::config::resource_limits limits;
    limits.max_connections = 4000;
    limits.idle_timeout = std::chrono::seconds(30);
    return limits;
}

} // namespace

absl::StatusOr<backend_script> parse_script(std::string_view text,
                                            std::string_view file)
{
    jj::config::diagnostics errors{std::string(file)};
    const auto document = jj::config::parse_json(text, errors);
    if (!document)
    {
        return errors.status();
    }
    const auto* methods = std::get_if<jj::config::json_object>(&document->data);
    backend_script script;
    for (const auto& [name, value] : *methods)
    {
        jj::config::object_reader reader(value, name, errors);
        auto& method = script[name];
        method.work_ms = reader.number_or("work_ms", 1, 0, 60'000);
        for (const auto& call : reader.strings_or_empty("calls"))
        {
            std::istringstream fields(call);
            downstream_call parsed_call;
            fields >> parsed_call.service >> parsed_call.method >>
                parsed_call.target;
            method.calls.push_back(parsed_call);
        }
        reader.report_unknown_keys();
    }
    if (!errors.ok())
    {
        return errors.status();
    }
    return script;
}

work_server::work_server(backend_script script, std::size_t slots,
                         const jj::config::endpoint& node_address)
    : script_(std::move(script)), slots_(slots),
      server_(server_bounds(), *this),
      node_client_(node_address, {}, max_idle_node_connections, *this)
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
        on_control_request(exchange, request);
        return;
    }
    const auto found = script_.find(request.method + " " + path);
    if (found == script_.end() || job_queue_.size() >= max_queued_requests)
    {
        jj::http_response response;
        response.status = found == script_.end() ? 404 : 503;
        server_.respond(exchange, response);
        return;
    }
    job new_job;
    new_job.exchange = exchange;
    new_job.id = next_job_id_++;
    new_job.request = std::move(request);
    new_job.script = &found->second;
    job_queue_.push_back(std::move(new_job));
    start_queued_jobs();
}

void work_server::start_queued_jobs()
{
    while (!job_queue_.empty() && running_jobs_.size() < slots_)
    {
        job next_job = std::move(job_queue_.front());
        job_queue_.pop_front();
        ++started_count_;
        if (!next_job.request.body.empty() &&
            ++run_count_by_body_[next_job.request.body] > 1)
        {
            ++repeated_count_;
        }
        const auto id = next_job.id;
        continue_job(
            running_jobs_.emplace(id, std::move(next_job)).first->second);
    }
}

void work_server::continue_job(job& current_job)
{
    const auto id = current_job.id;
    if (current_job.next_call_index < current_job.script->calls.size())
    {
        const auto& call =
            current_job.script->calls[current_job.next_call_index];
        jj::http_request request;
        request.method = call.method;
        request.target = call.target;
        request.headers = {{"Host", call.service},
                           {"Jujubespan-Token", std::string(jj::find_header(
                                                    current_job.request.headers,
                                                    "Jujubespan-Token"))}};
        if (call.method == "POST")
        {
            request.headers.push_back(
                {"Idempotency-Key",
                 fmt::format("{}", current_job.next_call_index)});
            request.body = current_job.request.body;
        }
        ++current_job.next_call_index;
        node_client_.start(id, request);
        return;
    }
    const auto work_time =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::duration<double, std::milli>(
                current_job.script->work_ms * slowdown_factor_));
    QTimer::singleShot(work_time, Qt::PreciseTimer, &context_object_,
                       [this, id] { finish_job(id, 200, "{\"ok\":true}\n"); });
}

void work_server::on_exchange_end(std::uint64_t id,
                                  jj::http::exchange_result result,
                                  jj::http_response response)
{
    const auto found = running_jobs_.find(id);
    if (found == running_jobs_.end())
    {
        return;
    }
    constexpr unsigned first_error_status = 400;
    const bool succeeded = result == jj::http::exchange_result::answered &&
                           response.status < first_error_status;
    if (!succeeded)
    {
        finish_job(id, 502, "{\"ok\":false}\n");
        return;
    }
    continue_job(found->second);
}

void work_server::finish_job(std::uint64_t id, unsigned status,
                             std::string body)
{
    const auto found = running_jobs_.find(id);
    if (found == running_jobs_.end())
    {
        return;
    }
    const job finished_job = std::move(found->second);
    running_jobs_.erase(found);
    jj::http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = std::move(body);
    server_.respond(finished_job.exchange, response);
    start_queued_jobs();
}

void work_server::on_client_disconnected(std::uint64_t exchange)
{
    std::erase_if(job_queue_,
                  [&](const job& item) { return item.exchange == exchange; });
    for (const auto& [id, item] : running_jobs_)
    {
        if (item.exchange == exchange)
        {
            ++cancelled_count_;
            node_client_.cancel(id);
            running_jobs_.erase(id);
            break;
        }
    }
    start_queued_jobs();
}

void work_server::on_control_request(std::uint64_t exchange,
                                     const jj::http_request& request)
{
    const auto query_start = request.target.find('?');
    if (request.method == "PUT" && query_start != std::string::npos)
    {
        const QUrlQuery query(
            QString::fromStdString(request.target.substr(query_start + 1)));
        slowdown_factor_ = query.queryItemValue("slow").toDouble();
    }
    jj::http_response response;
    response.status = 200;
    response.body = fmt::format(
        "{{\"started\":{},\"cancelled\":{},\"repeated\":{},\"running\":{},"
        "\"queued\":{}}}\n",
        started_count_, cancelled_count_, repeated_count_, running_jobs_.size(),
        job_queue_.size());
    server_.respond(exchange, response);
}

} // namespace standin
