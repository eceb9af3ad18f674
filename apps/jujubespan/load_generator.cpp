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
constexpr duration slice = std::chrono::milliseconds(100);
constexpr std::size_t max_idle = 2000;
constexpr std::size_t max_tickets = 10'000;
constexpr unsigned first_error = 400;
constexpr unsigned precondition_required = 428;
constexpr duration give_up_after = std::chrono::seconds(5);

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
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

load_generator::load_generator(load_plan plan, std::function<void()> on_done)
    : plan_(std::move(plan)), on_done_(std::move(on_done)), random_(plan_.seed),
      next_(plan_.kinds.size()), reports_(plan_.kinds.size())
{
    QObject::connect(&timer_, &QTimer::timeout, &guard_, [this] { on_tick(); });
}

void load_generator::start()
{
    start_ = boot_clock::now();
    next_.assign(plan_.kinds.size(), start_);
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.start(tick_interval);
}

void load_generator::on_tick()
{
    const auto now = boot_clock::now();
    const auto end = start_ + from_seconds(plan_.duration_s);
    for (std::size_t i = 0; i < plan_.kinds.size(); ++i)
    {
        std::exponential_distribution<double> gap(plan_.kinds[i].rate);
        while (next_[i] <= now && next_[i] < end)
        {
            begin(i, next_[i]);
            next_[i] += from_seconds(gap(random_));
        }
    }
    const bool drained = in_flight_.empty() && waiting_retries_ == 0;
    if (!done_ && now >= end && (drained || now >= end + give_up_after))
    {
        done_ = true;
        for (const auto& [exchange, state] : in_flight_)
        {
            ++reports_[state.kind].lost;
        }
        timer_.stop();
        on_done_();
    }
}

void load_generator::begin(std::size_t kind, time_point now)
{
    ++reports_[kind].sent;
    request_state state;
    state.kind = kind;
    state.number = next_number_++;
    state.first_sent = now;
    state.node = random_() % plan_.kinds[kind].nodes.size();
    send(std::move(state));
}

void load_generator::send(request_state state)
{
    const auto& kind = plan_.kinds[state.kind];
    const auto& node = kind.nodes[state.node];
    ++reports_[state.kind].attempts;
    ++state.attempt;
    http_request request;
    request.method = kind.verb;
    request.target = kind.target;
    request.headers = {
        {"Host", config::to_string(node)},
        {std::string(headers::customer), plan_.customer},
        {std::string(headers::request_id),
         fmt::format("{}-{}", plan_.id_prefix, state.number)},
        {std::string(headers::attempt), fmt::format("{}", state.attempt)},
        {std::string(headers::deadline),
         fmt::format("{}", milliseconds(plan_.deadline))}};
    if (kind.verb == "POST")
    {
        request.body = fmt::format("{}-{}", plan_.id_prefix, state.number);
        auto& pool = tickets_[config::to_string(node)];
        if (state.ticket.empty() && !pool.empty())
        {
            state.ticket = std::move(pool.back());
            pool.pop_back();
        }
        if (!state.ticket.empty())
        {
            request.headers.push_back(
                {std::string(headers::idempotency_key), state.ticket});
        }
    }
    const auto exchange = next_exchange_++;
    in_flight_.emplace(exchange, std::move(state));
    client_of(node).start(exchange, request);
}

http::client& load_generator::client_of(const config::endpoint& node)
{
    auto& found = clients_[config::to_string(node)];
    if (!found)
    {
        http::response_handler& handler = *this;
        found = std::make_unique<http::client>(node, http::message_limits{},
                                               max_idle, handler);
    }
    return *found;
}

void load_generator::on_exchange_end(std::uint64_t exchange,
                                     http::exchange_result end,
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
    const auto& node = plan_.kinds[state.kind].nodes[state.node];
    auto& pool = tickets_[config::to_string(node)];
    const auto ticket = find_header(response.headers, headers::ticket);
    if (!ticket.empty() && pool.size() < max_tickets)
    {
        pool.emplace_back(ticket);
    }
    const bool answered = end == http::exchange_result::answered;
    const bool good = answered && response.status < first_error;
    const auto outcome = find_header(response.headers, headers::outcome);
    // Without a ticket only a request that was not run may be sent again.
    const bool safe = plan_.kinds[state.kind].verb != "POST" ||
                      !state.ticket.empty() || outcome == "not-run" ||
                      response.status == precondition_required ||
                      end == http::exchange_result::unreachable;
    const bool in_time =
        now + plan_.retry_delay < state.first_sent + plan_.deadline;
    if (!good && safe && in_time && state.attempt <= plan_.retries)
    {
        ++waiting_retries_;
        const auto delay =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                plan_.retry_delay);
        QTimer::singleShot(delay, Qt::PreciseTimer, &guard_,
                           [this, state]() mutable
                           {
                               --waiting_retries_;
                               send(std::move(state));
                           });
        return;
    }
    settle(state, end, response, now);
}

void load_generator::settle(const request_state& state,
                            http::exchange_result end,
                            const http_response& response, time_point now)
{
    auto& report = reports_[state.kind];
    const auto outcome = find_header(response.headers, headers::outcome);
    if (end != http::exchange_result::answered)
    {
        ++report.lost;
        return;
    }
    if (response.status >= first_error)
    {
        report.not_run += outcome == "not-run" ? 1 : 0;
        report.unknown += outcome == "unknown" ? 1 : 0;
        report.failed += outcome != "not-run" && outcome != "unknown" ? 1 : 0;
        return;
    }
    const duration latency = now - state.first_sent;
    if (latency > plan_.deadline)
    {
        ++report.late;
        return;
    }
    ++report.completed;
    report.latencies.push_back(seconds(latency) * 1e3);
    const auto index = static_cast<std::size_t>((now - start_) / slice);
    if (report.completed_by_slice.size() <= index)
    {
        report.completed_by_slice.resize(index + 1);
    }
    ++report.completed_by_slice[index];
}

} // namespace jujubespan::apps
