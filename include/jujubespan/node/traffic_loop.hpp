#ifndef JUJUBESPAN_NODE_TRAFFIC_LOOP_HPP
#define JUJUBESPAN_NODE_TRAFFIC_LOOP_HPP

#include "jujubespan/backend/backend_client.hpp"
#include "jujubespan/backend/outbound_endpoint.hpp"
#include "jujubespan/caller/caller_endpoint.hpp"
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

/// @brief Endpoints, transports and the call engine of a node. Lives on the
/// traffic thread.
class traffic_loop
{
public:
    traffic_loop(const config::settings& options, std::uint64_t incarnation,
                 zmq::context_t& context);

    /// @brief Opens all endpoints; call on the traffic thread.
    absl::Status start();

    /// @brief Queues a function to run on the traffic thread.
    void post_task(std::function<void()> task);

    /// @brief Runs a function on the traffic thread and waits until it returns.
    /// Must not be called on the traffic thread.
    void run_and_wait(const std::function<void()>& task);

    /// @brief Refuses new calls and announces to the peers that this node is
    /// leaving. `on_drained` runs on the traffic thread once no call is in
    /// flight, or after the drain timeout.
    void begin_drain(std::function<void()> on_drained);

    /// @brief Sets the fields of a report that describe the traffic thread.
    void fill_report(operators::node_report& report) const;

    [[nodiscard]] engine::call_engine& call_engine() { return engine_; }
    void apply_instances(std::span<const instance> list);

    /// @brief The memory that messages occupy in the process.
    [[nodiscard]] const std::shared_ptr<memory_account>& memory() const
    {
        return memory_;
    }

    /// @brief Load at the last tick. Thread-safe.
    [[nodiscard]] upstream_load load() const
    {
        return {in_flight_.load(), limit_.load()};
    }

private:
    void on_tick();
    void check_drain_end(time_point now);

    config::settings options_;
    std::shared_ptr<memory_account> memory_;
    QObject context_object_;
    QTimer tick_timer_;
    backend::backend_client backend_;
    peer::call_transport peers_;
    engine::call_engine engine_;
    caller::caller_endpoint caller_endpoint_;
    backend::outbound_endpoint outbound_endpoint_;
    std::function<void()> on_drained_;
    time_point drain_deadline_{};
    std::atomic<std::uint32_t> in_flight_{0};
    std::atomic<std::uint32_t> limit_{0};
};

} // namespace jujubespan::node

#endif
