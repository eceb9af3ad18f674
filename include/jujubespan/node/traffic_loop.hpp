#ifndef JUJUBESPAN_NODE_TRAFFIC_LOOP_HPP
#define JUJUBESPAN_NODE_TRAFFIC_LOOP_HPP

#include "jujubespan/backend/backend_client.hpp"
#include "jujubespan/backend/outbound_face.hpp"
#include "jujubespan/caller/caller_face.hpp"
#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/operators/report.hpp"
#include "jujubespan/peer/call_transport.hpp"

#include <absl/status/status.h>

#include <QObject>
#include <QTimer>

#include <atomic>
#include <cstdint>
#include <functional>

namespace jujubespan::node
{

/// @brief Everything that carries calls; lives on the traffic thread.
class traffic_loop
{
public:
    traffic_loop(const config::settings& options, std::uint64_t incarnation,
                 zmq::context_t& context);

    /// @brief Opens all endpoints; call on the traffic thread.
    absl::Status start();

    /// @brief Runs a function on the traffic thread, later.
    void post(std::function<void()> task);

    /// @brief Runs a function on the traffic thread and waits for it.
    void run(const std::function<void()>& task);

    /// @brief Refuses new work and tells peers; `on_idle` runs on the traffic
    /// thread once no call is in flight, or after the drain timeout.
    void begin_drain(std::function<void()> on_idle);

    /// @brief Fills in the traffic part of a report.
    void fill(operators::node_report& report) const;

    [[nodiscard]] engine::call_engine& calls() { return engine_; }
    void apply_instances(std::span<const instance> list);

    /// @brief Load as of the last tick; callable from any thread.
    [[nodiscard]] upstream_load load() const
    {
        return {in_flight_.load(), limit_.load()};
    }

private:
    void on_tick();
    void check_idle(time_point now);

    config::settings options_;
    QObject guard_;
    QTimer tick_timer_;
    backend::backend_client backend_;
    peer::call_transport peers_;
    engine::call_engine engine_;
    caller::caller_face callers_;
    backend::outbound_face outbound_;
    std::function<void()> on_idle_;
    time_point drain_deadline_{};
    std::atomic<std::uint32_t> in_flight_{0};
    std::atomic<std::uint32_t> limit_{0};
};

} // namespace jujubespan::node

#endif
