#ifndef JUJUBESPAN_NODE_MESH_LOOP_HPP
#define JUJUBESPAN_NODE_MESH_LOOP_HPP

#include "jujubespan/backend/backend_client.hpp"
#include "jujubespan/config/mesh_settings.hpp"
#include "jujubespan/http/server.hpp"
#include "jujubespan/mesh/egress.hpp"
#include "jujubespan/mesh/guard.hpp"
#include "jujubespan/peer/routed_transport.hpp"

#include <absl/status/status.h>

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <memory>

namespace jujubespan::node
{

/// @brief What a node tells about its routed calls.
struct mesh_report
{
    mesh::mesh_metrics metrics;
    peer::messenger_counters peers;
    std::size_t peer_connections{0};
    std::size_t client_connections{0};
    std::uint64_t backend_connects{0};
    upstream_load load;
    std::uint64_t version{0};
    bool ready{false};
};

/// @brief Everything that carries routed calls; lives on the traffic thread.
class mesh_loop final : private http::request_handler, private mesh::client_port
{
public:
    mesh_loop(const config::mesh_settings& options,
              const mesh::header_names& names, std::uint64_t incarnation,
              zmq::context_t& context);

    /// @brief Opens all endpoints; call on the traffic thread.
    absl::Status start();

    /// @brief Runs a function on the traffic thread, later.
    void post(std::function<void()> task);

    /// @brief Runs a function on the traffic thread and waits for it.
    void run(const std::function<void()>& task);

    void apply(std::shared_ptr<const mesh::configuration> next);
    void apply(std::shared_ptr<const mesh::instance_directory> list);
    void apply(const mesh::retry_budget_options& terms) { gate_.apply(terms); }

    /// @brief Stops being ready; requests that still arrive are served.
    /// `on_idle` runs on the traffic thread once clients had time to leave
    /// and nothing is in flight, or when the grace ends.
    void begin_drain(std::function<void()> on_idle);

    [[nodiscard]] mesh_report report() const;

private:
    // Answers the status checks of the load generator's side.
    class readiness final : public http::request_handler
    {
    public:
        explicit readiness(const mesh_loop& owner) : owner_(owner) {}
        void bind(http::server& target) { target_ = &target; }
        void on_request(std::uint64_t exchange, http_request request) override;
        void on_gone(std::uint64_t exchange) override;

    private:
        const mesh_loop& owner_;
        http::server* target_{nullptr};
    };

    void on_request(std::uint64_t exchange, http_request request) override;
    void on_gone(std::uint64_t exchange) override;
    void respond(std::uint64_t exchange,
                 const http_response& response) override;
    void on_tick();
    void check_idle(time_point now);
    [[nodiscard]] bool ready() const;

    config::mesh_settings options_;
    QObject guard_object_;
    QTimer tick_timer_;
    mesh::mesh_state shared_;
    backend::backend_client backend_;
    peer::routed_transport peers_;
    mesh::guard gate_;
    mesh::egress egress_;
    http::server clients_;
    readiness readiness_;
    http::server checks_;
    std::shared_ptr<const mesh::configuration> configuration_;
    std::shared_ptr<const mesh::instance_directory> instances_;
    bool leaving_{false};
    std::function<void()> on_idle_;
    time_point drain_began_{};
};

} // namespace jujubespan::node

#endif
