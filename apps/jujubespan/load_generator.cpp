#include "load_generator.hpp"

#include "jujubespan/engine/http_mapping.hpp"

#include <fmt/format.h>

#include <QTimer>

#include <algorithm>

namespace jujubespan::apps
{

namespace
{

namespace headers = engine::headers;

constexpr auto tick_interval = std::chrono::milliseconds(1);
constexpr duration slice_duration = std::chrono::milliseconds(100);
constexpr std::size_t max_idle_connections = 2000; // per node
constexpr std::size_t max_unused_tickets = 10'000; // per node
constexpr unsigned first_error_status = 400;
constexpr unsigned precondition_required_status = 428;
// Maximum time to wait for responses after the duration of the plan.
constexpr duration drain_timeout = std::chrono::seconds(5);

} // namespace

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
    {
        return 0;
    }
    const auto index = std::min(
        static_cast<std::size_t>(q * static_cast<double>(values.size())),
        values.size() - 1);
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

load_generator::load_generator(load_plan plan,
                               std::function<void()> on_finished)
    : plan_(std::move(plan)), on_finished_(std::move(on_finished)),
      random_engine_(plan_.seed), next_arrivals_(plan_.kinds.size()),
      reports_(plan_.kinds.size())
{
    QObject::connect(&timer_, &QTimer::timeout, &context_object_,
                     [this] { on_tick(); });
}

void load_generator::start()
{
    started_at_ = boot_clock::now();
    next_arrivals_.assign(plan_.kinds.size(), started_at_);
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.start(tick_interval);
}

void load_generator::on_tick()
{
    const auto now = boot_clock::now();
    const auto end = started_at_ + from_seconds(plan_.duration_s);
    for (std::size_t i = 0; i < plan_.kinds.size(); ++i)
    {
        std::exponential_distribution<double> interarrival_seconds(
            plan_.kinds[i].requests_per_second);
        while (next_arrivals_[i] <= now && next_arrivals_[i] < end)
        {
            start_request(i, next_arrivals_[i]);
            next_arrivals_[i] +=
                from_seconds(interarrival_seconds(random_engine_));
        }
    }
    const bool all_ended = in_flight_.empty() && scheduled_retries_ == 0;
    if (!finished_ && now >= end && (all_ended || now >= end + drain_timeout))
    {
        finished_ = true;
        for (const auto& [exchange, state] : in_flight_)
        {
            ++reports_[state.kind_index].lost;
        }
        timer_.stop();
        on_finished_();
    }
}

void load_generator::start_request(std::size_t kind_index,
                                   time_point scheduled_at)
{
    ++reports_[kind_index].sent;
    request_state state;
    state.kind_index = kind_index;
    state.number = next_request_number_++;
    state.scheduled_at = scheduled_at;
    state.node_index = random_engine_() % plan_.kinds[kind_index].nodes.size();
    send_attempt(std::move(state));
}

void load_generator::send_attempt(request_state state)
{
    const auto& kind = plan_.kinds[state.kind_index];
    const auto& node = kind.nodes[state.node_index];
    ++reports_[state.kind_index].attempts;
    ++state.attempt;
    http_request request;
    request.method = kind.method;
    request.target = kind.target;
    request.headers = {
        {"Host", config::to_string(node)},
        {std::string(headers::customer), plan_.customer},
        {std::string(headers::request_id),
         fmt::format("{}-{}", plan_.id_prefix, state.number)},
        {std::string(headers::attempt), fmt::format("{}", state.attempt)},
        {std::string(headers::deadline),
         fmt::format("{}", milliseconds(plan_.deadline))}};
    if (kind.method == "POST")
    {
        request.body = fmt::format("{}-{}", plan_.id_prefix, state.number);
        auto& tickets = unused_tickets_[config::to_string(node)];
        if (state.ticket.empty() && !tickets.empty())
        {
            state.ticket = std::move(tickets.back());
            tickets.pop_back();
        }
        if (!state.ticket.empty())
        {
            request.headers.push_back(
                {std::string(headers::idempotency_key), state.ticket});
        }
    }
    const auto exchange = next_exchange_++;
    in_flight_.emplace(exchange, std::move(state));
    client_for(node).start(exchange, request);
}

http::client& load_generator::client_for(const config::endpoint& node)
{
    auto& client = clients_[config::to_string(node)];
    if (!client)
    {
        http::response_handler& handler = *this;
        client = std::make_unique<http::client>(node, http::message_limits{},
                                                max_idle_connections, handler);
    }
    return *client;
}

void load_generator::on_exchange_end(std::uint64_t exchange,
                                     http::exchange_result result,
                                     http_response response)
{
    const auto found = in_flight_.find(exchange);
    if (found == in_flight_.end())
    {
        return;
    }
    request_state state = std::move(found->second);
    in_flight_.erase(found);
    const auto now = boot_clock::now();
    const auto& node = plan_.kinds[state.kind_index].nodes[state.node_index];
    auto& tickets = unused_tickets_[config::to_string(node)];
    const auto ticket = find_header(response.headers, headers::ticket);
    if (!ticket.empty() && tickets.size() < max_unused_tickets)
    {
        tickets.emplace_back(ticket);
    }
    const bool answered = result == http::exchange_result::answered;
    const bool succeeded = answered && response.status < first_error_status;
    const auto outcome = find_header(response.headers, headers::outcome);
    // A POST without a ticket is sent again only if it was not run.
    const bool safe_to_retry =
        plan_.kinds[state.kind_index].method != "POST" ||
        !state.ticket.empty() || outcome == "not-run" ||
        response.status == precondition_required_status ||
        result == http::exchange_result::unreachable;
    const bool retry_before_deadline =
        now + plan_.retry_delay < state.scheduled_at + plan_.deadline;
    if (!succeeded && safe_to_retry && retry_before_deadline &&
        state.attempt <= plan_.max_retries)
    {
        ++scheduled_retries_;
        const auto delay =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                plan_.retry_delay);
        QTimer::singleShot(delay, Qt::PreciseTimer, &context_object_,
                           [this, state]() mutable
                           {
                               --scheduled_retries_;
                               send_attempt(std::move(state));
                           });
        return;
    }
    record_result(state, result, response, now);
}

void load_generator::record_result(const request_state& state,
                                   http::exchange_result result,
                                   const http_response& response,
                                   time_point now)
{
    auto& report = reports_[state.kind_index];
    const auto outcome = find_header(response.headers, headers::outcome);
    if (result != http::exchange_result::answered)
    {
        ++report.lost;
        return;
    }
    if (response.status >= first_error_status)
    {
        report.not_run += outcome == "not-run" ? 1 : 0;
        report.unknown += outcome == "unknown" ? 1 : 0;
        report.failed += outcome != "not-run" && outcome != "unknown" ? 1 : 0;
        return;
    }
    const duration latency = now - state.scheduled_at;
    if (latency > plan_.deadline)
    {
        ++report.late;
        return;
    }
    ++report.completed;
    report.latencies_ms.push_back(seconds(latency) * 1e3);
    const auto index =
        static_cast<std::size_t>((now - started_at_) / slice_duration);
    if (report.completed_by_slice.size() <= index)
    {
        report.completed_by_slice.resize(index + 1);
    }
    ++report.completed_by_slice[index];
}

} // namespace jujubespan::apps
