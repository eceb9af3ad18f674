#include "jujubespan/node/mesh_loop.hpp"

#include "jujubespan/backend/outbound_face.hpp"
#include "jujubespan/metrics/log.hpp"

#include <algorithm>

namespace jujubespan::node
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(20);
// Load balancers take a node out after some failed checks, a second apart;
// requests arrive until then.
constexpr duration leave_time = std::chrono::milliseconds(2800);
// The process ends this long before it would be killed.
constexpr duration stop_margin = std::chrono::milliseconds(700);
// Connections to the backend server beyond its slots, as a part of what it
// accepts.
constexpr double connection_share = 0.8;
constexpr std::size_t most_idle = 1024;
constexpr duration idle_time = std::chrono::seconds(8);
// A backend server next door takes a connection within milliseconds; one that
// does not is full or dead, and the request can still run elsewhere.
constexpr duration backend_connect_time = std::chrono::milliseconds(250);
// A backend server next door that acknowledges nothing for this long is dead.
constexpr duration backend_silence = std::chrono::seconds(2);
constexpr std::size_t largest_body = 64U << 20U;
constexpr std::size_t largest_header = 64U << 10U;
// Time to receive a request whose header is complete.
constexpr duration body_time = std::chrono::seconds(30);

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

http::client_options backend_options(const mesh::header_names& names)
{
    http::client_options value;
    value.limits = {largest_header, largest_body};
    value.max_idle_connections = most_idle;
    value.idle_timeout = idle_time;
    value.connect_timeout = backend_connect_time;
    value.echo_header = names.request_id;
    value.close_delimited = true;
    value.dead_peer_timeout = backend_silence;
    return value;
}

config::resource_limits client_bounds(const config::mesh_settings& options,
                                      const mesh::client_bounds& clients)
{
    config::resource_limits value;
    value.max_header_bytes = clients.max_header_bytes;
    value.max_body_bytes = clients.max_body_bytes;
    value.max_buffered_bytes = options.max_buffered_bytes;
    value.max_connections = options.max_connections;
    value.receive_timeout = std::max(clients.header_timeout, body_time);
    value.idle_timeout = clients.idle_timeout;
    return value;
}

mesh::repeat_terms terms_of(const config::retry_budget_settings& value)
{
    return {value.ratio, value.slack, value.window};
}

mesh::egress_options egress_options(const config::mesh_settings& options,
                                    const mesh::header_names& names)
{
    return {options.service, options.failure_domain, names};
}

mesh::guard_options guard_options(const config::mesh_settings& options,
                                  const mesh::header_names& names)
{
    mesh::guard_options value;
    value.service = options.service;
    value.backend_address = config::to_string(options.backend_address);
    value.names = names;
    value.protection = options.protection;
    value.queue_wait = options.queue_wait;
    value.repeats = terms_of(options.retry_budget);
    value.fresh_fleet = options.first_start;
    return value;
}

} // namespace

mesh_loop::mesh_loop(const config::mesh_settings& options,
                     const mesh::header_names& names, std::uint64_t incarnation,
                     zmq::context_t& context)
    : options_(options),
      backend_(options.backend_address, backend_options(names)),
      peers_(context, options.call_address,
             options.call_listen_address.value_or(options.call_address),
             incarnation),
      gate_(guard_options(options, names), shared_, backend_, peers_,
            boot_clock::now()),
      egress_(egress_options(options, names), shared_, *this, peers_,
              incarnation),
      clients_(client_bounds(options, {}), *this), readiness_(*this),
      checks_(client_bounds(options, {}), readiness_)
{
    backend_.bind(gate_);
    peers_.set_receivers(egress_, gate_);
    readiness_.bind(checks_);
    QObject::connect(&tick_timer_, &QTimer::timeout, &guard_object_,
                     [this] { on_tick(); });
}

absl::Status mesh_loop::start()
{
    if (auto status = peers_.bind(); !status.ok())
    {
        return status;
    }
    if (auto status = clients_.listen(options_.client_address); !status.ok())
    {
        return status;
    }
    if (auto status = checks_.listen(options_.readiness_address); !status.ok())
    {
        return status;
    }
    tick_timer_.setTimerType(Qt::PreciseTimer);
    tick_timer_.start(tick_interval);
    return absl::OkStatus();
}

void mesh_loop::post(std::function<void()> task)
{
    QMetaObject::invokeMethod(&guard_object_, std::move(task),
                              Qt::QueuedConnection);
}

void mesh_loop::run(const std::function<void()>& task)
{
    QMetaObject::invokeMethod(&guard_object_, task,
                              Qt::BlockingQueuedConnection);
}

void mesh_loop::apply(std::shared_ptr<const mesh::configuration> next)
{
    configuration_ = std::move(next);
    clients_.set_bounds(client_bounds(options_, configuration_->clients));
    egress_.apply(configuration_);
    for (const auto& terms : configuration_->services)
    {
        if (terms.name == options_.service && terms.max_connections > 0)
        {
            backend_.limit_connections(static_cast<std::size_t>(
                terms.max_connections * connection_share));
        }
    }
}

void mesh_loop::apply(std::shared_ptr<const mesh::instance_directory> list)
{
    const auto now = boot_clock::now();
    gate_.apply(*list, now);
    peers_.set_instances(*list);
    egress_.apply(*list, now);
    instances_ = std::move(list); // The guard reads it until here.
}

void mesh_loop::on_request(std::uint64_t exchange, http_request request)
{
    backend::normalize_target(request);
    egress_.on_request(exchange, std::move(request), boot_clock::now());
}

void mesh_loop::on_gone(std::uint64_t exchange)
{
    egress_.on_gone(exchange, boot_clock::now());
}

void mesh_loop::respond(std::uint64_t exchange, const http_response& response)
{
    clients_.respond(exchange, response);
}

void mesh_loop::on_tick()
{
    const auto now = boot_clock::now();
    peers_.on_tick(now);
    gate_.on_tick(now);
    egress_.on_tick(now);
    if (on_idle_)
    {
        check_idle(now);
    }
}

bool mesh_loop::ready() const
{
    return configuration_ && instances_ && !leaving_;
}

void mesh_loop::begin_drain(std::function<void()> on_idle)
{
    leaving_ = true;
    gate_.begin_drain();
    peers_.announce_leaving();
    clients_.announce_close();
    on_idle_ = std::move(on_idle);
    drain_began_ = boot_clock::now();
}

void mesh_loop::check_idle(time_point now)
{
    const duration spent = now - drain_began_;
    const auto busy = egress_.in_flight() + gate_.in_flight();
    if (spent >= leave_time)
    {
        // What is taken later might not end before the process does.
        egress_.stop_taking();
        gate_.stop_taking();
    }
    const bool over = spent >= options_.stop_grace - stop_margin;
    if (!over && (spent < leave_time || busy > 0))
    {
        return;
    }
    if (busy > 0)
    {
        log(log_level::warn, "drain_cut", "in_flight={}", busy);
    }
    const auto done = std::move(on_idle_);
    on_idle_ = nullptr;
    done();
}

mesh_report mesh_loop::report() const
{
    mesh_report value;
    value.metrics = shared_.metrics;
    value.peers = peers_.counters();
    value.peer_connections = peers_.connection_count();
    value.client_connections = clients_.connection_count();
    value.backend_connects = backend_.connects();
    value.load = gate_.load(boot_clock::now());
    value.version = egress_.version();
    value.ready = ready();
    return value;
}

void mesh_loop::readiness::on_request(std::uint64_t exchange,
                                      http_request /*request*/)
{
    http_response response;
    response.status = owner_.ready() ? status_ok : status_unavailable;
    target_->respond(exchange, response);
}

void mesh_loop::readiness::on_gone(std::uint64_t /*exchange*/) {}

} // namespace jujubespan::node
