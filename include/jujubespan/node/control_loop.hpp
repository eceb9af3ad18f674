#ifndef JUJUBESPAN_NODE_CONTROL_LOOP_HPP
#define JUJUBESPAN_NODE_CONTROL_LOOP_HPP

#include "jujubespan/node/topic_store.hpp"
#include "jujubespan/node/traffic_loop.hpp"
#include "jujubespan/operators/operator_endpoint.hpp"
#include "jujubespan/peer/authenticator.hpp"
#include "jujubespan/peer/control_transport.hpp"
#include "jujubespan/platform/platform_client.hpp"
#include "jujubespan/policy/control_plane.hpp"
#include "jujubespan/policy/pause_detector.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <QTimer>

#include <cstdint>
#include <functional>
#include <random>
#include <span>

namespace jujubespan::node
{

/// @brief Keeps contracts and instances up to date, exchanges heartbeats and
/// rate leases with peers and serves operators. Lives on the control thread.
class control_loop final : private peer::control_handler,
                           private platform::platform_handler,
                           private operators::report_source
{
public:
    /// @param traffic must outlive this object.
    /// @param keys must outlive this object; null without encryption.
    control_loop(const config::settings& options, std::uint64_t incarnation,
                 zmq::context_t& context, traffic_loop& traffic,
                 peer::authenticator* keys);

    absl::Status start();

    /// @brief Stops watching the platform and announces to the peers that this
    /// node is leaving.
    void begin_drain();

private:
    struct pending_borrow
    {
        std::string customer;
        time_point requested_at{};
    };

    // peer::control_handler: messages from peers.
    void on_heartbeat(std::string_view peer, std::uint64_t incarnation,
                      const peer::heartbeat& peer_heartbeat) override;
    void on_fetch(std::string_view peer, topic topic_id,
                  std::uint64_t after_revision) override;
    void on_delta(std::string_view peer, topic topic_id,
                  const versioned_delta& delta) override;
    void on_borrow(std::string_view peer,
                   const peer::rate_lease& request) override;
    void on_grant(const peer::rate_lease& grant) override;

    // platform::platform_handler: responses of the platform.
    void on_platform_delta(topic topic_id,
                           const versioned_delta& delta) override;
    void on_platform_failure(topic topic_id,
                             const absl::Status& error) override;
    std::uint64_t revision(topic topic_id) const override
    {
        return store_.revision(topic_id);
    }

    // operators::report_source: queries from operators.
    operators::node_report report() override;
    std::vector<engine::decision>
    decisions(std::string_view request_id) override;

    store_result apply(topic topic_id, const versioned_delta& delta,
                       std::string_view source);
    void publish(topic topic_id);
    void update_allowed_keys();
    void update_peers();
    void update_platform_watch();
    void record_domain_contact(std::string_view peer);
    void on_tick();
    void send_heartbeats(time_point now);
    void broadcast_heartbeat();
    void collect_borrow_requests(time_point now);
    void send_borrow_requests(std::span<const engine::borrow_request> requests,
                              time_point requested_at);

    /// @brief Queues a function to run on the control thread.
    void post_task(std::function<void()> task);
    [[nodiscard]] peer::heartbeat current_heartbeat() const;
    [[nodiscard]] duration heartbeat_interval() const;

    config::settings options_;
    std::uint64_t incarnation_;
    traffic_loop& traffic_;
    peer::authenticator* keys_;
    std::mt19937_64 random_engine_;
    topic_store store_;
    peer::control_transport peers_;
    platform::platform_client platform_;
    operators::operator_endpoint operators_;
    fallback_reader fallback_reader_;
    pause_detector pause_detector_;
    QTimer tick_timer_;
    std::vector<std::string> heartbeat_peers_;
    // Heartbeat peers of this node's failure domain, from which rate is
    // borrowed.
    std::vector<std::string> lenders_;
    std::vector<std::string> domain_peers_;
    std::size_t next_heartbeat_peer_{0};
    std::size_t next_lender_{0};
    time_point next_heartbeat_at_{};
    time_point next_borrow_at_{};
    bool leaving_{false};
    std::uint64_t next_borrow_id_{1};
    absl::flat_hash_map<std::uint64_t, pending_borrow> pending_borrows_;
    string_map<std::uint64_t> incarnations_;
};

} // namespace jujubespan::node

#endif
