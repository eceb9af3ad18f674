#include "jujubespan/node/mesh_loop.hpp"

#include "jujubespan/backend/outbound_endpoint.hpp"
#include "jujubespan/metrics/log.hpp"
#include "jujubespan/node/process.hpp"

#include <algorithm>

namespace jujubespan::node
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(20);
// Fraction of the connections accepted by the backend server. Once that many
// are open, an idle one is closed before another is opened. The number may
// exceed the slots of the server.
constexpr double backend_connection_fraction = 0.8;
constexpr std::size_t max_idle_connections = 1024;
constexpr duration idle_connection_timeout = std::chrono::seconds(8);
// A backend server on the same host accepts a connection within milliseconds.
// One that does not is overloaded or down, and another instance can still
// handle the request.
constexpr duration backend_connect_timeout = std::chrono::milliseconds(250);
// A backend server on the same host that acknowledges no data for this long is
// considered down.
constexpr duration backend_dead_peer_timeout = std::chrono::seconds(2);
constexpr std::size_t backend_max_body_bytes = 64U << 20U;
constexpr std::size_t backend_max_header_bytes = 64U << 10U;
// The clients, the backend server and the other nodes may each hold
// `max_buffered_bytes`, but all of them together only twice as much: a request
// that is passed on is held twice, by its sender and by its receiver.
constexpr std::size_t memory_accounts_per_process = 2;
constexpr std::size_t max_readiness_bytes = 1U << 20U;
constexpr std::size_t max_readiness_connections = 64;
// Lower bound of the receive timeout, which covers the whole request and not
// only its header.
constexpr duration min_receive_timeout = std::chrono::seconds(30);

// The drain ends when nothing has been in flight for this long, since replies
// to other nodes are sent by another thread, which drops them when the node
// exits.
constexpr duration drain_quiet_time = std::chrono::milliseconds(100);

// Age of the configuration, as a share of the revocation bound, above which
// requests with keys are refused. The rest of the bound covers errors of the
// estimated age.
constexpr double max_age_share = 0.7;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

http::client_options
make_backend_options(const config::mesh_settings& settings,
                     const mesh::header_names& names,
                     const std::shared_ptr<memory_account>& memory)
{
    http::client_options options;
    options.memory = memory;
    options.max_buffered_bytes = settings.max_buffered_bytes;
    options.limits = {backend_max_header_bytes, backend_max_body_bytes};
    options.max_idle_connections = max_idle_connections;
    options.idle_timeout = idle_connection_timeout;
    options.connect_timeout = backend_connect_timeout;
    options.echo_header = names.request_id;
    options.close_delimited = true;
    options.dead_peer_timeout = backend_dead_peer_timeout;
    return options;
}

config::resource_limits make_client_limits(const config::mesh_settings& options,
                                           const mesh::client_limits& clients)
{
    config::resource_limits limits;
    limits.max_header_bytes = clients.max_header_bytes;
    limits.max_body_bytes = clients.max_body_bytes;
    limits.max_buffered_bytes = options.max_buffered_bytes;
    limits.max_connections = options.max_connections;
    limits.receive_timeout =
        std::max(clients.header_timeout, min_receive_timeout);
    limits.idle_timeout = clients.idle_timeout;
    return limits;
}

// A check has a few hundred bytes, and comes once per second.
config::resource_limits
make_readiness_limits(const config::mesh_settings& options)
{
    auto limits = make_client_limits(options, {});
    limits.max_buffered_bytes = max_readiness_bytes;
    limits.max_connections =
        std::min(options.max_connections, max_readiness_connections);
    return limits;
}

mesh::retry_budget_options
to_retry_budget_options(const config::retry_budget_settings& settings)
{
    return {settings.ratio, settings.slack, settings.window};
}

mesh::egress_options make_egress_options(const config::mesh_settings& options,
                                         const mesh::header_names& names)
{
    std::optional<duration> max_configuration_age;
    if (options.revocation.strict)
    {
        max_configuration_age =
            from_seconds(seconds(options.revocation.bound) * max_age_share);
    }
    return {options.service, options.failure_domain, names,
            max_configuration_age};
}

mesh::allowance_bound
make_allowance_bound(const config::allowance_settings& settings)
{
    return {settings.window, settings.tolerance, settings.slack};
}

mesh::guard_options
make_guard_options(const config::mesh_settings& options,
                   const mesh::header_names& names,
                   const std::shared_ptr<memory_account>& memory)
{
    mesh::guard_options result;
    result.service = options.service;
    result.backend_address = config::to_string(options.backend_address);
    result.names = names;
    result.protection = options.protection;
    result.queue_wait = options.queue_wait;
    if (!options.mechanisms.enabled(mechanism::guard_queue))
    {
        result.max_queue = 0;
    }
    result.max_body_bytes = options.max_buffered_bytes;
    result.memory = memory;
    result.retry_budget = to_retry_budget_options(options.retry_budget);
    result.fleet_starting = options.first_start;
    return result;
}

} // namespace

mesh_loop::mesh_loop(const config::mesh_settings& options,
                     const mesh::header_names& names, std::uint64_t incarnation,
                     zmq::context_t& context)
    : options_(options),
      memory_(std::make_shared<memory_account>(memory_accounts_per_process *
                                               options.max_buffered_bytes)),
      peer_memory_(std::make_shared<memory_account>(options.max_buffered_bytes,
                                                    memory_)),
      drain_(make_drain_schedule(options.stop_grace)),
      backend_(options.backend_address,
               make_backend_options(options, names, memory_)),
      peers_(context, options.call_address,
             options.call_listen_address.value_or(options.call_address),
             incarnation, peer_memory_),
      allowance_spender_(config::to_string(options.call_address),
                         options.failure_domain),
      allowance_authority_(make_allowance_bound(options.allowance)),
      guard_(make_guard_options(options, names, memory_), shared_, backend_,
             peers_, boot_clock::now()),
      egress_(make_egress_options(options, names), shared_, *this, peers_,
              incarnation),
      client_server_(make_client_limits(options, {}), *this, memory_),
      readiness_handler_(*this),
      readiness_server_(make_readiness_limits(options), readiness_handler_,
                        memory_)
{
    shared_.mechanisms = options.mechanisms;
    shared_.admission.set_mechanisms(options.mechanisms);
    backend_.bind(guard_);
    backend_.set_reclaimer(client_server_);
    guard_.set_reclaimer(client_server_);
    peer_memory_->set_reclaimer(&client_server_);
    peers_.set_receivers(egress_, guard_);
    peers_.set_allowances(allowance_spender_, allowance_authority_);
    egress_.set_allowances(&allowance_spender_);
    readiness_handler_.bind(readiness_server_);
    QObject::connect(&tick_timer_, &QTimer::timeout, &context_object_,
                     [this] { on_tick(); });
}

absl::Status mesh_loop::start()
{
    auto status = listen_with_retry([this] { return peers_.bind(); });
    if (status.ok())
    {
        status = listen_with_retry(
            [this] { return client_server_.listen(options_.client_address); });
    }
    if (status.ok())
    {
        status = listen_with_retry(
            [this]
            { return readiness_server_.listen(options_.readiness_address); });
    }
    if (!status.ok())
    {
        return status;
    }
    tick_timer_.setTimerType(Qt::PreciseTimer);
    tick_timer_.start(tick_interval);
    return absl::OkStatus();
}

void mesh_loop::post_task(std::function<void()> task)
{
    QMetaObject::invokeMethod(&context_object_, std::move(task),
                              Qt::QueuedConnection);
}

void mesh_loop::run_and_wait(const std::function<void()>& task)
{
    QMetaObject::invokeMethod(&context_object_, task,
                              Qt::BlockingQueuedConnection);
}

void mesh_loop::apply_configuration(
    std::shared_ptr<const mesh::configuration> next)
{
    configuration_ = std::move(next);
    client_server_.set_limits(
        make_client_limits(options_, configuration_->clients));
    egress_.apply(configuration_);
    guard_.set_keys_required(configuration_->organisations.has_value());
    apply_allowances();
    for (const auto& service : configuration_->services)
    {
        if (service.name == options_.service && service.max_connections > 0)
        {
            backend_.set_max_connections(static_cast<std::size_t>(
                service.max_connections * backend_connection_fraction));
        }
    }
}

void mesh_loop::apply_instances(
    std::shared_ptr<const mesh::instance_directory> list)
{
    const auto now = boot_clock::now();
    guard_.apply(*list, now);
    peers_.set_instances(*list);
    egress_.apply(*list, now);
    // The guard keeps a pointer to its list. The previous list is therefore
    // released only after the guard has received the new one.
    instances_ = std::move(list);
    if (allowance_spender_.enabled())
    {
        allowance_spender_.apply(*instances_, now);
        allowance_authority_.apply(*instances_, now);
    }
}

// The instance list is passed on only while an organisation has an allowance.
void mesh_loop::apply_allowances()
{
    const bool was_enabled = allowance_spender_.enabled();
    allowance_spender_.apply(*configuration_);
    allowance_authority_.apply(*configuration_);
    if (!was_enabled && allowance_spender_.enabled() && instances_)
    {
        const auto now = boot_clock::now();
        allowance_spender_.apply(*instances_, now);
        allowance_authority_.apply(*instances_, now);
    }
}

void mesh_loop::send_allowance_requests(time_point now)
{
    if (!allowance_spender_.enabled())
    {
        return;
    }
    while (const auto next = allowance_spender_.next_request(now))
    {
        peers_.send_allowance_request(*next, now);
    }
}

void mesh_loop::on_request(std::uint64_t exchange, http_request request)
{
    backend::normalize_target(request);
    const auto now = boot_clock::now();
    egress_.on_request(exchange, std::move(request), now);
    if (allowance_spender_.has_waiting())
    {
        send_allowance_requests(now);
    }
}

void mesh_loop::on_client_disconnected(std::uint64_t exchange)
{
    egress_.on_client_disconnected(exchange, boot_clock::now());
}

void mesh_loop::respond(std::uint64_t exchange, const http_response& response)
{
    client_server_.respond(exchange, response);
}

void mesh_loop::on_tick()
{
    const auto now = boot_clock::now();
    peers_.on_tick(now);
    guard_.on_tick(now);
    egress_.on_tick(now);
    send_allowance_requests(now);
    if (on_drained_)
    {
        advance_drain(now);
    }
}

bool mesh_loop::is_ready() const
{
    return configuration_ && instances_ && !leaving_;
}

void mesh_loop::begin_drain(std::function<void()> on_drained)
{
    leaving_ = true;
    client_server_.announce_close();
    on_drained_ = std::move(on_drained);
    drain_started_at_ = boot_clock::now();
}

void mesh_loop::advance_drain(time_point now)
{
    const duration elapsed = now - drain_started_at_;
    const bool announces_late =
        options_.mechanisms.enabled(mechanism::late_stop_announcement);
    if (!stop_announced_ && (elapsed >= drain_.announcement || !announces_late))
    {
        stop_announced_ = true;
        guard_.begin_drain();
        peers_.announce_leaving();
    }
    if (elapsed >= drain_.end_of_admission)
    {
        egress_.stop_admitting();
        guard_.stop_admitting();
    }
    if (elapsed >= drain_.end_of_starts)
    {
        egress_.stop_attempts();
        guard_.stop_starting(now);
    }
    check_drain_end(elapsed, now);
}

void mesh_loop::check_drain_end(duration elapsed, time_point now)
{
    const auto in_flight = egress_.in_flight() + guard_.in_flight();
    const bool unsent = client_server_.has_unsent_responses();
    if (in_flight > 0 || unsent)
    {
        last_busy_at_ = now;
    }
    const bool timed_out = elapsed >= drain_.end;
    if (!timed_out && (elapsed < drain_.end_of_admission ||
                       now - last_busy_at_ < drain_quiet_time))
    {
        return;
    }
    if (in_flight > 0 || unsent)
    {
        log(log_level::warn, "drain_cut", "in_flight={} unsent_responses={}",
            in_flight, unsent);
    }
    const auto callback = std::move(on_drained_);
    on_drained_ = nullptr;
    callback();
}

mesh_report mesh_loop::make_report() const
{
    mesh_report report;
    report.metrics = shared_.metrics;
    report.metrics.allowance_tokens_granted =
        allowance_authority_.tokens_granted();
    report.peer_counters = peers_.counters();
    report.peer_connections = peers_.connection_count();
    report.client_connections = client_server_.connection_count();
    report.backend_connect_attempts = backend_.connect_attempts();
    report.guard_load = guard_.load(boot_clock::now());
    report.client_buffered_bytes = client_server_.buffered_bytes();
    report.guard_body_bytes = guard_.body_bytes();
    report.suspect_requests = shared_.suspects.size();
    report.quarantined_requests = shared_.suspects.quarantined_count();
    report.configuration_version = egress_.configuration_version();
    // Without organisations, other nodes do not send it.
    if (configuration_ && configuration_->organisations)
    {
        report.configuration_age = egress_.configuration_age(boot_clock::now());
    }
    report.ready = is_ready();
    return report;
}

void mesh_loop::readiness_handler::on_request(std::uint64_t exchange,
                                              http_request /*request*/)
{
    http_response response;
    response.status = loop_.is_ready() ? status_ok : status_unavailable;
    server_->respond(exchange, response);
}

void mesh_loop::readiness_handler::on_client_disconnected(
    std::uint64_t /*exchange*/)
{
}

} // namespace jujubespan::node
