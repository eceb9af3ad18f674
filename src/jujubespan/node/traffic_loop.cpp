#include "jujubespan/node/traffic_loop.hpp"

#include "jujubespan/metrics/log.hpp"

namespace jujubespan::node
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(10);

operators::link_counters to_links(const peer::messenger_counters& counters,
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
    : options_(options), backend_(options),
      peers_(context, options, incarnation),
      engine_(options, incarnation, incarnation, backend_, peers_,
              boot_clock::now()),
      callers_(options.limits, engine_), outbound_(options.limits, engine_)
{
    backend_.bind(engine_);
    peers_.attach(engine_);
    QObject::connect(&tick_timer_, &QTimer::timeout, &guard_,
                     [this] { on_tick(); });
}

absl::Status traffic_loop::start()
{
    if (auto status = peers_.bind(options_.call_address); !status.ok())
    {
        return status;
    }
    if (auto status = outbound_.listen(options_.outbound_address); !status.ok())
    {
        return status;
    }
    if (auto status = callers_.listen(options_.caller_address); !status.ok())
    {
        return status;
    }
    tick_timer_.setTimerType(Qt::PreciseTimer);
    tick_timer_.start(tick_interval);
    return absl::OkStatus();
}

void traffic_loop::post(std::function<void()> task)
{
    QMetaObject::invokeMethod(&guard_, std::move(task), Qt::QueuedConnection);
}

void traffic_loop::run(const std::function<void()>& task)
{
    QMetaObject::invokeMethod(&guard_, task, Qt::BlockingQueuedConnection);
}

void traffic_loop::on_tick()
{
    const auto now = boot_clock::now();
    engine_.on_tick(now);
    peers_.on_tick(now);
    const auto load = engine_.load(now);
    in_flight_ = load.in_flight;
    limit_ = load.limit;
    if (on_idle_)
    {
        check_idle(now);
    }
}

void traffic_loop::apply_instances(std::span<const instance> list)
{
    const auto now = boot_clock::now();
    peers_.apply(list);
    engine_.apply_instances(list, now);
}

void traffic_loop::begin_drain(std::function<void()> on_idle)
{
    engine_.begin_drain();
    peers_.announce_leaving();
    callers_.begin_drain();
    on_idle_ = std::move(on_idle);
    drain_deadline_ = boot_clock::now() + options_.drain_timeout;
}

void traffic_loop::check_idle(time_point now)
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
    const auto done = std::move(on_idle_);
    on_idle_ = nullptr;
    done();
}

void traffic_loop::fill(operators::node_report& report) const
{
    report.status = engine_.status(boot_clock::now());
    report.metrics = engine_.metrics();
    report.calls = to_links(peers_.counters(), peers_.connections());
    report.caller_connections = callers_.connections();
}

} // namespace jujubespan::node
