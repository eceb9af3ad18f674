#include "jujubespan/mesh/egress.hpp"

#include "egress_limits.hpp"

#include "jujubespan/engine/http_mapping.hpp"
#include "jujubespan/mesh/attempt_outcome.hpp"
#include "jujubespan/mesh/request_fingerprint.hpp"
#include "jujubespan/mesh/server_announcement.hpp"
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

// Deadline of a request without a deadline header.
constexpr duration default_deadline = std::chrono::seconds(30);
// Client requests with a latency objective up to this are prioritized.
// Otherwise they would miss it, since the calls made by running requests of
// their class are queued before them.
constexpr duration max_prioritized_objective = std::chrono::milliseconds(500);
// After a guard refused a retry for lack of budget, no retry is sent to its
// service for this time.
constexpr duration retry_suspension = std::chrono::milliseconds(100);
// The local backend server counts as dependent on a service for this time after
// its last reply.
constexpr duration dependency_lifetime = std::chrono::seconds(10);

constexpr std::size_t max_key_bytes = 256;
// Readers of the discovery source renew the age about twice per second.
constexpr duration stale_configuration_retry_delay =
    std::chrono::milliseconds(250);

bool is_key_header(const http_header& header, const header_names& names)
{
    return same_header_name(header.name, names.key) ||
           same_header_name(header.name, names.organisation);
}

bool has_header(std::span<const http_header> headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(),
                       [name](const http_header& header)
                       { return same_header_name(header.name, name); });
}

// Value of the only header with a name; empty when there is none or several.
std::string_view find_only_header(std::span<const http_header> headers,
                                  std::string_view name)
{
    std::string_view value;
    std::size_t count = 0;
    for (const auto& header : headers)
    {
        if (same_header_name(header.name, name))
        {
            value = header.value;
            ++count;
        }
    }
    return count == 1 ? value : std::string_view();
}

// Requests with a lower priority number are refused later.
request_class class_of_priority(std::uint32_t priority)
{
    const auto index =
        std::min<std::uint32_t>(priority, request_class_count - 1);
    return all_request_classes[index];
}

// The priority of the organisation decides first, and that of the route among
// requests of equal organisations: each priority of organisations has two
// classes, the lower one for routes whose requests are refused first. There are
// not enough classes to distinguish organisations below priority one.
request_class class_of_priorities(std::uint32_t organisation_priority,
                                  std::uint32_t route_priority)
{
    constexpr std::uint32_t first_sheddable = 2; // of the routes
    constexpr std::uint32_t lowest = 1;          // of the organisations
    const auto pair = std::min(organisation_priority, lowest);
    return class_of_priority(2 * pair +
                             (route_priority >= first_sheddable ? 1 : 0));
}

std::optional<duration> parse_milliseconds(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [stop, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    constexpr std::uint64_t max_milliseconds = 3'600'000;
    if (error != std::errc{} || value > max_milliseconds)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

} // namespace

egress::egress(egress_options options, mesh_state& shared, client_port& clients,
               routed_call_port& peers, std::uint64_t seed)
    : options_(std::move(options)), shared_(shared), clients_(clients),
      peers_(peers), random_(seed)
{
}

void egress::apply(std::shared_ptr<const configuration> next)
{
    organisations_.emplace(next);
    table_.emplace(std::move(next));
}

void egress::apply(const instance_directory& list, time_point now)
{
    string_map<std::vector<instance>> by_service;
    call_addresses_.clear();
    incarnations_.clear();
    auto all = list.all();
    for (auto& item : all)
    {
        shared_.leaving.on_listed(item.id, item.incarnation);
        item.leaving =
            item.leaving || shared_.leaving.contains(item.id, item.incarnation);
        incarnations_[item.id] = item.incarnation;
        by_service[item.service].push_back(item);
        call_addresses_[item.id] = item.call_address;
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
    return balancers_
        .try_emplace(std::string(service), options_.failure_domain,
                     shared_.mechanisms)
        .first->second;
}

void egress::on_request(std::uint64_t exchange, http_request request,
                        time_point now)
{
    open_call call;
    call.exchange = exchange;
    call.received_at = now;
    call.message.request_id =
        find_header(request.headers, options_.names.request_id);
    if (auto refused = prepare_call(request, now, call))
    {
        refuse_request(call, *refused);
        return;
    }
    call.message.caller_service = options_.service;
    call.message.request = engine::to_backend_request(std::move(request));
    // The request id, the deadline and the organisation are fields of the call.
    // The key must not leave this node.
    std::erase_if(
        call.message.request.headers,
        [&names = options_.names,
         keyed = organisations_->keys_required()](const http_header& header)
        {
            return same_header_name(header.name, names.request_id) ||
                   same_header_name(header.name, names.deadline) ||
                   (keyed && is_key_header(header, names));
        });
    if (auto refused = refuse_suspect(call, now))
    {
        refuse_request(call, *refused);
        return;
    }
    charge_and_dispatch(std::move(call), now);
}

request_fingerprint egress::fingerprint_of(open_call& call)
{
    if (!call.fingerprint)
    {
        call.fingerprint = mesh::fingerprint_of(call.message.caller_service,
                                                call.message.request);
    }
    return *call.fingerprint;
}

bool egress::is_suspected(open_call& call, time_point now) const
{
    return !shared_.suspects.empty() &&
           shared_.suspects.standing(fingerprint_of(call), now) !=
               request_standing::clear;
}

std::optional<answer> egress::refuse_suspect(open_call& call,
                                             time_point now) const
{
    const auto& suspects = shared_.suspects;
    if (suspects.empty())
    {
        return std::nullopt;
    }
    const auto fingerprint = fingerprint_of(call);
    const auto standing = suspects.standing(fingerprint, now);
    if (standing != request_standing::held &&
        standing != request_standing::quarantined)
    {
        return std::nullopt;
    }
    auto refusal = engine::make_refusal(reason::quarantined);
    refusal.retry_after = suspects.time_to_release(fingerprint, now);
    return refusal;
}

std::optional<answer> egress::prepare_call(const http_request& request,
                                           time_point now, open_call& call)
{
    if (!table_)
    {
        return engine::make_refusal(reason::no_configuration);
    }
    call.matched_route = table_->find(find_header(request.headers, "Host"),
                                      path_of(request.target));
    if (call.matched_route == nullptr)
    {
        return engine::make_rejection(reason::no_route);
    }
    call.source = table_->source();
    if (call.message.request_id.empty())
    {
        return engine::make_rejection(reason::malformed);
    }
    if (stopped_admitting_)
    {
        return engine::make_refusal(reason::leaving);
    }
    if (call.matched_route->targets.empty())
    {
        return engine::make_refusal(reason::no_upstream);
    }
    set_deadline(request, now, call);
    auto& message = call.message;
    message.service = table_->choose_target(*call.matched_route);
    message.route = call.matched_route->name;
    message.idempotent = call.matched_route->idempotent();
    // Calls made by a backend server carry no key. A request with a key is
    // judged by it, even if its id names a running request.
    const bool is_client_request =
        organisations_->keys_required() &&
        has_header(request.headers, options_.names.key);
    const auto* parent = is_client_request
                             ? nullptr
                             : shared_.running.find_parent(message.request_id);
    call.is_nested = parent != nullptr;
    if (call.is_nested)
    {
        message.organisation = parent->organisation;
        message.key = parent->key;
        message.prioritized =
            shared_.mechanisms.enabled(mechanism::prioritized_calls);
        message.retry =
            parent->is_retry ? retry_cause::caller : retry_cause::none;
        return std::nullopt;
    }
    if (auto refused = identify_sender(request, now, call))
    {
        return refused;
    }
    message.client_request = true;
    if (!is_client_request && running_calls::is_call_id(message.request_id))
    {
        ++shared_.metrics.retry_budget.calls_without_parent;
    }
    const auto priority =
        call.sender == nullptr
            ? call.matched_route->priority
            : call.sender->priority.value_or(call.matched_route->priority);
    const auto cls = call.sender != nullptr && call.sender->priority
                         ? class_of_priorities(*call.sender->priority,
                                               call.matched_route->priority)
                         : class_of_priority(call.matched_route->priority);
    message.key =
        make_shed_key(shared_.mechanisms.enabled(mechanism::class_order)
                          ? cls
                          : all_request_classes.back(),
                      message.request_id, 1);
    const auto objective = call.matched_route->objective;
    message.prioritized =
        objective > duration::zero() &&
        objective <= max_prioritized_objective &&
        shared_.mechanisms.enabled(mechanism::prioritized_calls);
    const auto sender =
        call.sender == nullptr
            ? request_sender{}
            : request_sender{call.sender->name, call.sender->allowance.rate};
    const auto refusal = shared_.admission.check_request(
        message.route, costs_.mean_costs(message.route), message.key, now,
        sender);
    if (!refusal)
    {
        return std::nullopt;
    }
    log(log_level::info, "request_shed",
        "request={} route={} version={} priority={} service={} pressure={:.2f} "
        "pressure_age_ms={} admitted={:.2f} outcome=not-run{}{}",
        message.request_id, message.route, configuration_version(), priority,
        refusal->service, refusal->pressure,
        milliseconds(refusal->pressure_age), refusal->admitted_share,
        sender.organisation.empty() ? "" : " organisation=",
        sender.organisation);
    return engine::make_refusal(reason::downstream_overload);
}

void egress::confirm_configuration(time_point as_of, time_point now)
{
    age_.on_confirmed(as_of);
    update_staleness(now);
}

// Also called without a request, to log the time of a change.
bool egress::update_staleness(time_point now)
{
    if (!options_.max_configuration_age || !organisations_ ||
        !organisations_->keys_required())
    {
        return false;
    }
    const auto age = age_.age(now);
    const bool stale = !age || *age > *options_.max_configuration_age;
    if (stale != configuration_stale_)
    {
        configuration_stale_ = stale;
        log(stale ? log_level::warn : log_level::info,
            stale ? "configuration_age_exceeded" : "configuration_age_restored",
            "age_ms={} limit_ms={} version={}",
            age ? std::to_string(milliseconds(*age)) : "unknown",
            milliseconds(*options_.max_configuration_age),
            configuration_version());
    }
    return stale;
}

std::optional<answer> egress::identify_sender(const http_request& request,
                                              time_point now, open_call& call)
{
    if (!organisations_->keys_required() || call.matched_route->anonymous)
    {
        return std::nullopt;
    }
    // Before the key: an old configuration can neither accept nor reject it.
    if (update_staleness(now))
    {
        auto refusal = engine::make_refusal(reason::stale_configuration);
        refusal.retry_after = stale_configuration_retry_delay;
        return refusal;
    }
    const auto key = find_only_header(request.headers, options_.names.key);
    call.sender =
        key.size() > max_key_bytes ? nullptr : organisations_->find_by_key(key);
    if (call.sender == nullptr)
    {
        log(log_level::info, "key_unknown",
            "request={} route={} key_digest={} version={}",
            call.message.request_id, call.matched_route->name,
            key.empty() ? "-" : key_digest(key), configuration_version());
        return engine::make_rejection(reason::unknown_key);
    }
    call.message.organisation = call.sender->name;
    return std::nullopt;
}

void egress::set_deadline(const http_request& request, time_point now,
                          open_call& call)
{
    const auto text = find_header(request.headers, options_.names.deadline);
    const auto requested_timeout = parse_milliseconds(text);
    if (!requested_timeout && !text.empty())
    {
        log(log_level::warn, "deadline_unreadable", "request={} value=\"{}\"",
            call.message.request_id, text);
    }
    call.response_deadline = now + requested_timeout.value_or(default_deadline);
    const auto timeout = call.matched_route->timeout;
    if (timeout > duration::zero() && now + timeout < call.response_deadline)
    {
        call.response_deadline = now + timeout;
        call.uses_route_timeout = true;
    }
    call.message.deadline = call.response_deadline;
}

void egress::dispatch(open_call call, const answer& answer_if_unsent,
                      time_point now)
{
    while (call.tried_instances.size() < max_attempts_per_request)
    {
        if (send_attempt(call, now))
        {
            const std::uint64_t id = call.message.id;
            call_ids_[call.exchange] = id;
            deadlines_.insert({call.response_deadline, id});
            calls_.emplace(id, std::move(call));
            return;
        }
        if (call.instance.empty())
        {
            break;
        }
    }
    finish_request(call, answer_if_unsent, now);
}

bool egress::send_attempt(open_call& call, time_point now)
{
    auto& service_balancer = balancer_of(call.message.service);
    const auto chosen =
        is_suspected(call, now)
            ? service_balancer.pick_by_key(fingerprint_of(call),
                                           call.tried_instances, now)
            : service_balancer.pick(call.tried_instances, random_, now);
    call.instance = chosen.value_or("");
    if (!chosen)
    {
        return false;
    }
    call.tried_instances.push_back(*chosen);
    call.peer = call_addresses_[*chosen];
    call.message.id = next_id_++;
    call.message.instance = *chosen;
    call.message.known_rate_limit = service_balancer.rate_limit(*chosen);
    ++shared_.metrics.attempts;
    service_balancer.on_attempt_start(*chosen, now);
    if (peers_.send_call(call.peer, call.message, now))
    {
        return true;
    }
    service_balancer.on_attempt_end(*chosen, attempt_outcome::unreachable, {},
                                    now);
    return false;
}

egress::open_call egress::remove_call(call_map::iterator found)
{
    open_call call = std::move(found->second);
    call_ids_.erase(call.exchange);
    deadlines_.erase({call.response_deadline, found->first});
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
    open_call call = remove_call(found);
    record_reply(call, reply, now);
    retry_or_finish(std::move(call), reply.answer, now);
}

void egress::record_reply(open_call& call, const routed_reply& reply,
                          time_point now)
{
    auto& service_balancer = balancer_of(call.message.service);
    const auto attempt_result = classify_reply(reply);
    if (reply.answer.load.limit > 0)
    {
        service_balancer.on_load(call.instance, reply.answer.load, now);
    }
    service_balancer.on_attempt_end(call.instance, attempt_result,
                                    reply.residence_time, now);
    if (reply.answer.load.limit > 0)
    {
        if (service_balancer.on_rate_limit(call.instance, reply.rate_limit))
        {
            log(log_level::info, "instance_rate_limit",
                "request={} instance={} service={} rate_limit={}",
                call.message.request_id, call.instance, call.message.service,
                rate_limit_text(reply.rate_limit));
        }
    }
    if (reply.answer.leaving)
    {
        service_balancer.on_node_stopping(call.instance, now);
    }
    record_leaving(call, reply);
    if (reply.answer.reason == reason::retry_budget &&
        shared_.mechanisms.enabled(mechanism::retry_suspension))
    {
        retries_suspended_until_[call.message.service] = now + retry_suspension;
    }
    if (reply.reached_backend || reply.answer.result == outcome::unknown)
    {
        ++call.backend_arrivals;
    }
    call.may_have_run = call.may_have_run ||
                        reply.answer.result == outcome::unknown ||
                        reply.answer.result == outcome::answered;
    record_feedback(call, reply, now);
}

void egress::record_leaving(const open_call& call, const routed_reply& reply)
{
    if (!reply.leaving_incarnation)
    {
        return;
    }
    shared_.leaving.record(call.instance, *reply.leaving_incarnation);
    const auto listed = incarnations_.find(call.instance);
    if (listed != incarnations_.end() &&
        shared_.leaving.contains(call.instance, listed->second) &&
        balancer_of(call.message.service).on_backend_leaving(call.instance))
    {
        log(log_level::info, "instance_leaving",
            "request={} instance={} service={} lifetime={}",
            call.message.request_id, call.instance, call.message.service,
            listed->second);
    }
}

void egress::record_feedback(const open_call& call, const routed_reply& reply,
                             time_point now)
{
    for (const auto& item : reply.pressures)
    {
        record_pressure(item.service, item.pressure, call.is_nested, now);
    }
    if (call.is_nested)
    {
        last_nested_call_at_[call.message.service] = now;
    }
    auto* parent = call.is_nested
                       ? shared_.running.find_parent(call.message.request_id)
                       : nullptr;
    if (parent != nullptr)
    {
        for (const auto& item : reply.costs)
        {
            add_cost(parent->costs, item);
        }
    }
    if (reply.answer.result == outcome::answered)
    {
        costs_.record(call.message.route, reply.costs);
    }
}

// Replies carry the load of their guard; the balancers aggregate it by
// service.
void egress::update_pressures(time_point now)
{
    for (const auto& [service, service_balancer] : balancers_)
    {
        if (const auto pressure = service_balancer.pressure(now))
        {
            const auto called = last_nested_call_at_.find(service);
            const bool is_downstream =
                called != last_nested_call_at_.end() &&
                now - called->second <= dependency_lifetime;
            record_pressure(service, *pressure, is_downstream, now);
        }
    }
}

void egress::record_pressure(std::string_view service, double pressure,
                             bool is_downstream, time_point now)
{
    if (is_downstream)
    {
        shared_.admission.on_downstream_pressure(service, pressure, now);
        return;
    }
    shared_.admission.on_pressure(service, pressure, now);
}

bool egress::prepare_retry(open_call& call, const answer& last, time_point now)
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
    if (stopped_attempts_ || now + min_attempt_time >= call.response_deadline ||
        call.tried_instances.size() >= max_attempts_per_request)
    {
        return false;
    }
    if (call.backend_arrivals == 0)
    {
        ++shared_.metrics.resends;
        return true;
    }
    if (call.backend_arrivals >= call.matched_route->max_attempts ||
        !shared_.mechanisms.enabled(mechanism::retries))
    {
        return false;
    }
    if (retries_suspended(call.message.service, now) ||
        refuse_suspect(call, now))
    {
        return false;
    }
    ++shared_.metrics.retries;
    call.message.retry = retry_cause::attempt;
    return true;
}

void egress::retry_or_finish(open_call call, const answer& last, time_point now)
{
    if (!prepare_retry(call, last, now))
    {
        finish_request(call, last, now);
        return;
    }
    if (last.result == outcome::answered)
    {
        call.server_error = last;
    }
    log(log_level::info, "request_sent_again",
        "request={} route={} instance={} fingerprint={} outcome={} reason={} "
        "tried={}",
        call.message.request_id, call.message.route, call.instance,
        to_text(fingerprint_of(call)), to_string(last.result),
        to_string(last.reason), call.tried_instances.size());
    dispatch(std::move(call), last, now);
}

} // namespace jujubespan::mesh
