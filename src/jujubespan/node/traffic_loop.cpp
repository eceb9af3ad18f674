#include "jujubespan/node/traffic_loop.hpp"

#include "jujubespan/metrics/log.hpp"

namespace jujubespan::node
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(10);
// A request that is passed on is held by the endpoint that received it and by
// the client that sends it.
constexpr std::size_t memory_accounts_per_process = 2;

operators::peer_counters
to_peer_counters(const peer::messenger_counters& counters,
                 std::size_t connections)
{
    return {counters.sent,
            counters.sent_bytes,
            counters.received,
            counters.received_bytes,
            counters.malformed + counters.wrong_version +
                counters.wrong_receiver,
            connections};
}

} // namespace

traffic_loop::traffic_loop(const config::settings& options,
                           std::uint64_t incarnation, zmq::context_t& context)
    : options_(options),
      memory_(std::make_shared<memory_account>(
          memory_accounts_per_process * options.limits.max_buffered_bytes)),
      backend_(options, memory_), peers_(context, options, incarnation),
      engine_(options, incarnation, incarnation, backend_, peers_,
              boot_clock::now()),
      caller_endpoint_(options.limits, engine_, memory_),
      outbound_endpoint_(options.limits, engine_, memory_)
{
    backend_.bind(engine_);
    peers_.set_engine(engine_);
    QObject::connect(&tick_timer_, &QTimer::timeout, &context_object_,
                     [this] { on_tick(); });
}

absl::Status traffic_loop::start()
{
    if (auto status = peers_.bind(options_.call_address); !status.ok())
    {
        return status;
    }
    if (auto status = outbound_endpoint_.listen(options_.outbound_address);
        !status.ok())
    {
        return status;
    }
    if (auto status = caller_endpoint_.listen(options_.caller_address);
        !status.ok())
    {
        return status;
    }
    tick_timer_.setTimerType(Qt::PreciseTimer);
    tick_timer_.start(tick_interval);
    return absl::OkStatus();
}

void traffic_loop::post_task(std::function<void()> task)
{
    QMetaObject::invokeMethod(&context_object_, std::move(task),
                              Qt::QueuedConnection);
}

void traffic_loop::run_and_wait(const std::function<void()>& task)
{
    QMetaObject::invokeMethod(&context_object_, task,
                              Qt::BlockingQueuedConnection);
}

void traffic_loop::on_tick()
{
    const auto now = boot_clock::now();
    engine_.on_tick(now);
    peers_.on_tick(now);
    const auto load = engine_.load(now);
    in_flight_ = load.in_flight;
    limit_ = load.limit;
    if (on_drained_)
    {
        check_drain_end(now);
    }
}

void traffic_loop::apply_instances(std::span<const instance> list)
{
    const auto now = boot_clock::now();
    peers_.set_instances(list);
    engine_.apply_instances(list, now);
}

void traffic_loop::begin_drain(std::function<void()> on_drained)
{
    engine_.begin_drain();
    peers_.announce_leaving();
    caller_endpoint_.begin_drain();
    on_drained_ = std::move(on_drained);
    drain_deadline_ = boot_clock::now() + options_.drain_timeout;
}

void traffic_loop::check_drain_end(time_point now)
{
    if (!engine_.is_idle() && now < drain_deadline_)
    {
        return;
    }
    if (!engine_.is_idle())
    {
        log(log_level::warn, "drain_timeout", "in_flight={}",
            engine_.load(now).in_flight);
    }
    const auto callback = std::move(on_drained_);
    on_drained_ = nullptr;
    callback();
}

void traffic_loop::fill_report(operators::node_report& report) const
{
    report.status = engine_.status(boot_clock::now());
    report.metrics = engine_.metrics();
    report.calls =
        to_peer_counters(peers_.counters(), peers_.connection_count());
    report.caller_connections = caller_endpoint_.connection_count();
}

} // namespace jujubespan::node
