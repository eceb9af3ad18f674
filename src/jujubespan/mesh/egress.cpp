#include "jujubespan/mesh/egress.hpp"

#include "egress_limits.hpp"

#include "jujubespan/engine/http_mapping.hpp"
#include "jujubespan/mesh/attempt_end.hpp"
#include "jujubespan/metrics/log.hpp"

#include <algorithm>
#include <charconv>

namespace jujubespan::mesh
{

namespace
{

using engine::answer;
using engine::outcome;
using engine::reason;

// Time that a request without one is given.
constexpr duration default_deadline = std::chrono::seconds(30);
// A request with a shorter objective is late when it waits behind calls that
// keep coming from requests of its class.
constexpr duration too_short_to_wait = std::chrono::milliseconds(500);
// After a guard had no budget for a repeat, its service gets none for this
// long.
constexpr duration no_repeats_time = std::chrono::milliseconds(100);
// The own backend server depends on a service that it called this lately.
constexpr duration call_memory = std::chrono::seconds(10);

// Lower priority numbers are refused later.
request_class class_of_priority(std::uint32_t priority)
{
    const auto index =
        std::min<std::uint32_t>(priority, request_class_count - 1);
    return all_request_classes[index];
}

std::optional<duration> milliseconds_in(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [stop, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    constexpr std::uint64_t highest = 3'600'000;
    if (error != std::errc{} || value > highest)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

} // namespace

egress::egress(egress_options options, shared_state& shared,
               client_port& clients, routed_call_port& peers,
               std::uint64_t seed)
    : options_(std::move(options)), shared_(shared), clients_(clients),
      peers_(peers), random_(seed)
{
}

void egress::apply(std::shared_ptr<const configuration> next)
{
    table_.emplace(std::move(next));
}

void egress::apply(const instance_directory& list, time_point now)
{
    string_map<std::vector<instance>> by_service;
    peer_of_.clear();
    const auto all = list.all();
    for (const auto& item : all)
    {
        by_service[item.service].push_back(item);
        peer_of_[item.id] = item.call_address;
    }
    for (auto& [service, known] : balancers_)
    {
        by_service.try_emplace(service);
    }
    for (const auto& [service, items] : by_service)
    {
        balancer_of(service).apply(items, now);
    }
}

balancer& egress::balancer_of(std::string_view service)
{
    return balancers_.try_emplace(std::string(service), options_.failure_domain)
        .first->second;
}

void egress::on_request(std::uint64_t exchange, http_request request,
                        time_point now)
{
    open_call call;
    call.exchange = exchange;
    call.arrived = now;
    call.message.request_id =
        find_header(request.headers, options_.names.request_id);
    if (auto refused = check(request, now, call))
    {
        refuse(call, *refused);
        return;
    }
    call.message.caller_service = options_.service;
    call.message.request = engine::to_backend_request(std::move(request));
    // The call carries them as fields of its own.
    std::erase_if(
        call.message.request.headers,
        [this](const http_header& header)
        {
            return same_header_name(header.name, options_.names.request_id) ||
                   same_header_name(header.name, options_.names.deadline);
        });
    launch(std::move(call), engine::make_refusal(reason::no_upstream), now);
}

std::optional<answer> egress::check(const http_request& request, time_point now,
                                    open_call& call)
{
    if (!table_)
    {
        return engine::make_refusal(reason::no_configuration);
    }
    call.path = table_->find(find_header(request.headers, "Host"),
                             path_of(request.target));
    if (call.path == nullptr)
    {
        return engine::make_rejection(reason::no_route);
    }
    call.source = table_->source();
    if (call.message.request_id.empty())
    {
        return engine::make_rejection(reason::malformed);
    }
    if (closed_)
    {
        return engine::make_refusal(reason::leaving);
    }
    set_times(request, now, call);
    auto& message = call.message;
    message.service = table_->choose_target(*call.path);
    message.route = call.path->name;
    message.idempotent = call.path->idempotent;
    const auto* parent = shared_.running.parent_of(message.request_id);
    call.child = parent != nullptr;
    if (call.child)
    {
        message.key = parent->key;
        message.under_way = true;
        message.repeat =
            parent->repeat ? repeat_cause::caller : repeat_cause::none;
        return std::nullopt;
    }
    message.client_request = true;
    message.key = make_shed_key(class_of_priority(call.path->priority),
                                message.request_id, 1);
    const auto objective = call.path->objective;
    message.under_way =
        objective > duration::zero() && objective <= too_short_to_wait;
    const auto refusal = shared_.admission.check(
        message.route, costs_.of(message.route), message.key, now);
    if (!refusal)
    {
        return std::nullopt;
    }
    log(log_level::info, "request_shed",
        "request={} route={} version={} priority={} service={} pressure={:.2f} "
        "pressure_age_ms={} admitted={:.2f} outcome=not-run",
        message.request_id, message.route, version(), call.path->priority,
        refusal->service, refusal->pressure, milliseconds(refusal->age),
        refusal->admitted);
    return engine::make_refusal(reason::downstream_overload);
}

void egress::set_times(const http_request& request, time_point now,
                       open_call& call)
{
    const auto text = find_header(request.headers, options_.names.deadline);
    const auto given = milliseconds_in(text);
    if (!given && !text.empty())
    {
        log(log_level::warn, "deadline_unreadable", "request={} value=\"{}\"",
            call.message.request_id, text);
    }
    call.answer_by = now + given.value_or(default_deadline);
    const auto timeout = call.path->timeout;
    if (timeout > duration::zero() && now + timeout < call.answer_by)
    {
        call.answer_by = now + timeout;
        call.timeout_is_routes = true;
    }
    call.message.deadline = call.answer_by;
}

void egress::launch(open_call call, const answer& none_left, time_point now)
{
    while (call.tried.size() < most_attempts)
    {
        if (send(call, now))
        {
            const std::uint64_t id = call.message.id;
            by_exchange_[call.exchange] = id;
            deadlines_.insert({call.answer_by, id});
            calls_.emplace(id, std::move(call));
            return;
        }
        if (call.instance.empty())
        {
            break;
        }
    }
    finish(call, none_left, now);
}

bool egress::send(open_call& call, time_point now)
{
    auto& targets = balancer_of(call.message.service);
    const auto chosen = targets.pick(call.tried, random_, now);
    call.instance = chosen.value_or("");
    if (!chosen)
    {
        return false;
    }
    call.tried.push_back(*chosen);
    call.peer = peer_of_[*chosen];
    call.message.id = next_id_++;
    call.message.instance = *chosen;
    ++shared_.metrics.attempts;
    targets.on_start(*chosen, now);
    if (peers_.call(call.peer, call.message, now))
    {
        return true;
    }
    targets.on_end(*chosen, attempt_end::unreachable, {}, now);
    return false;
}

egress::open_call egress::take(call_map::iterator found)
{
    open_call call = std::move(found->second);
    by_exchange_.erase(call.exchange);
    deadlines_.erase({call.answer_by, found->first});
    calls_.erase(found);
    return call;
}

void egress::on_reply(std::uint64_t id, const routed_reply& reply,
                      time_point now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        ++shared_.metrics.late_replies;
        return;
    }
    open_call call = take(found);
    settle(call, reply, now);
    advance(std::move(call), reply.value, now);
}

void egress::settle(open_call& call, const routed_reply& reply, time_point now)
{
    auto& targets = balancer_of(call.message.service);
    const auto end = end_of(reply);
    targets.on_end(call.instance, end, reply.held, now);
    if (reply.value.load.limit > 0)
    {
        targets.on_load(call.instance, reply.value.load, now);
    }
    if (reply.value.leaving)
    {
        targets.on_leaving(call.instance, now);
    }
    if (reply.value.reason == reason::retry_budget)
    {
        no_repeats_until_[call.message.service] = now + no_repeats_time;
    }
    if (reply.arrived || reply.value.result == outcome::unknown)
    {
        ++call.arrivals;
    }
    call.may_have_run = call.may_have_run ||
                        reply.value.result == outcome::unknown ||
                        reply.value.result == outcome::answered;
    learn(call, reply, now);
}

void egress::learn(const open_call& call, const routed_reply& reply,
                   time_point now)
{
    for (const auto& item : reply.pressures)
    {
        tell_pressure(item.service, item.pressure, call.child, now);
    }
    if (call.child)
    {
        called_at_[call.message.service] = now;
    }
    auto* parent = call.child
                       ? shared_.running.parent_of(call.message.request_id)
                       : nullptr;
    if (parent != nullptr)
    {
        for (const auto& item : reply.costs)
        {
            add_cost(parent->costs, item);
        }
    }
    if (reply.value.result == outcome::answered)
    {
        costs_.learn(call.message.route, reply.costs);
    }
}

// The guards of services called from here tell their load with each reply.
void egress::observe_pressure(time_point now)
{
    for (const auto& [service, targets] : balancers_)
    {
        if (const auto pressure = targets.pressure(now))
        {
            const auto called = called_at_.find(service);
            const bool behind = called != called_at_.end() &&
                                now - called->second <= call_memory;
            tell_pressure(service, *pressure, behind, now);
        }
    }
}

void egress::tell_pressure(std::string_view service, double pressure,
                           bool behind, time_point now)
{
    if (behind)
    {
        shared_.admission.on_pressure_behind(service, pressure, now);
        return;
    }
    shared_.admission.on_pressure(service, pressure, now);
}

bool egress::may_repeat(open_call& call, const answer& last, time_point now)
{
    const bool not_run = last.result == outcome::not_run;
    const bool failed = last.result == outcome::unknown ||
                        (last.result == outcome::answered &&
                         last.response.status >= first_server_error);
    if (!(not_run && last.elsewhere_may_help) &&
        !(failed && call.message.idempotent))
    {
        return false;
    }
    if (now + shortest_attempt >= call.answer_by ||
        call.tried.size() >= most_attempts)
    {
        return false;
    }
    if (call.arrivals == 0)
    {
        ++shared_.metrics.resends;
        return true;
    }
    if (call.arrivals >= call.path->max_attempts)
    {
        return false;
    }
    if (no_repeats(call.message.service, now))
    {
        return false;
    }
    ++shared_.metrics.repeats;
    call.message.repeat = repeat_cause::attempt;
    return true;
}

void egress::advance(open_call call, const answer& last, time_point now)
{
    if (!may_repeat(call, last, now))
    {
        finish(call, last, now);
        return;
    }
    if (last.result == outcome::answered)
    {
        call.error = last;
    }
    log(log_level::info, "request_sent_again",
        "request={} route={} instance={} outcome={} reason={} tried={}",
        call.message.request_id, call.message.route, call.instance,
        to_string(last.result), to_string(last.reason), call.tried.size());
    launch(std::move(call), last, now);
}

} // namespace jujubespan::mesh
