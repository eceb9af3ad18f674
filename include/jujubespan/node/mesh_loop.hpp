#ifndef JUJUBESPAN_NODE_MESH_LOOP_HPP
#define JUJUBESPAN_NODE_MESH_LOOP_HPP

#include "jujubespan/backend/backend_client.hpp"
#include "jujubespan/config/mesh_settings.hpp"
#include "jujubespan/http/server.hpp"
#include "jujubespan/mesh/allowance_authority.hpp"
#include "jujubespan/mesh/allowance_spender.hpp"
#include "jujubespan/mesh/egress.hpp"
#include "jujubespan/mesh/guard.hpp"
#include "jujubespan/node/drain_schedule.hpp"
#include "jujubespan/peer/routed_transport.hpp"

#include <absl/status/status.h>

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>

namespace jujubespan::node
{

/// @brief Metrics and state of the traffic thread.
struct mesh_report
{
    mesh::mesh_metrics metrics;
    peer::messenger_counters peer_counters;
    std::size_t peer_connections{0};
    std::size_t client_connections{0};
    std::uint64_t backend_connect_attempts{0};
    upstream_load guard_load;
    std::size_t client_buffered_bytes{0};
    std::size_t guard_body_bytes{0};
    std::size_t suspect_requests{0};
    std::size_t quarantined_requests{0};
    std::uint64_t configuration_version{0};
    /// Empty if not known or if no request needs a key.
    std::optional<duration> configuration_age;
    bool ready{false};
};

/// @brief Endpoints, transports and call handling of a node that routes
/// requests. Lives on the traffic thread.
class mesh_loop final : private http::request_handler, private mesh::client_port
{
public:
    mesh_loop(const config::mesh_settings& options,
              const mesh::header_names& names, std::uint64_t incarnation,
              zmq::context_t& context);

    /// @brief Opens all endpoints; call on the traffic thread.
    absl::Status start();

    /// @brief Queues a function to run on the traffic thread.
    void post_task(std::function<void()> task);

    /// @brief Runs a function on the traffic thread and waits until it returns.
    /// Must not be called on the traffic thread.
    void run_and_wait(const std::function<void()>& task);

    void apply_configuration(std::shared_ptr<const mesh::configuration> next);
    void apply_instances(std::shared_ptr<const mesh::instance_directory> list);
    /// @brief Confirms the configuration that was applied last.
    void confirm_configuration(time_point as_of)
    {
        egress_.confirm_configuration(as_of, boot_clock::now());
    }
    /// @brief Sets the receiver of discovery updates; null: none.
    void set_update_handler(mesh::discovery_update_handler* handler)
    {
        peers_.set_update_handler(handler);
    }
    void set_discovery_revision(std::uint64_t revision)
    {
        peers_.set_discovery_revision(revision);
    }
    void send_update(std::span<const std::string> peers,
                     const mesh::discovery_update& update)
    {
        peers_.send_update(peers, update, boot_clock::now());
    }
    void apply_retry_budget(const mesh::retry_budget_options& options)
    {
        guard_.apply(options);
    }

    /// @brief Fails readiness checks from now on, and follows the schedule of
    /// a planned stop: new requests are still accepted at first.
    /// `on_drained` runs on the traffic thread once none are accepted and no
    /// call is in flight, or at the end of the schedule.
    void begin_drain(std::function<void()> on_drained);

    [[nodiscard]] mesh_report make_report() const;

    /// @brief The memory that messages occupy in the process.
    [[nodiscard]] const std::shared_ptr<memory_account>& memory() const
    {
        return memory_;
    }

private:
    // Answers the readiness checks of load balancers.
    class readiness_handler final : public http::request_handler
    {
    public:
        explicit readiness_handler(const mesh_loop& loop) : loop_(loop) {}
        void bind(http::server& server) { server_ = &server; }
        void on_request(std::uint64_t exchange, http_request request) override;
        void on_client_disconnected(std::uint64_t exchange) override;

    private:
        const mesh_loop& loop_;
        http::server* server_{nullptr};
    };

    void on_request(std::uint64_t exchange, http_request request) override;
    void on_client_disconnected(std::uint64_t exchange) override;
    void respond(std::uint64_t exchange,
                 const http_response& response) override;
    void on_tick();
    void apply_allowances();
    void send_allowance_requests(time_point now);
    void advance_drain(time_point now);
    void check_drain_end(duration elapsed, time_point now);
    [[nodiscard]] bool is_ready() const;

    config::mesh_settings options_;
    std::shared_ptr<memory_account> memory_;
    std::shared_ptr<memory_account> peer_memory_; ///< Messages to other nodes.
    drain_schedule drain_;
    QObject context_object_;
    QTimer tick_timer_;
    mesh::mesh_state shared_;
    backend::backend_client backend_;
    peer::routed_transport peers_;
    mesh::allowance_spender allowance_spender_;
    mesh::allowance_authority allowance_authority_;
    mesh::guard guard_;
    mesh::egress egress_;
    http::server client_server_; // Frees memory for the others.
    readiness_handler readiness_handler_;
    http::server readiness_server_;
    std::shared_ptr<const mesh::configuration> configuration_;
    std::shared_ptr<const mesh::instance_directory> instances_;
    bool leaving_{false};
    bool stop_announced_{false}; ///< To other nodes.
    std::function<void()> on_drained_;
    time_point drain_started_at_{};
    time_point last_busy_at_{}; ///< During the drain.
};

} // namespace jujubespan::node

#endif
