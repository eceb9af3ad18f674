#ifndef JUJUBESPAN_MESH_EGRESS_HPP
#define JUJUBESPAN_MESH_EGRESS_HPP

#include "jujubespan/mesh/allowance_spender.hpp"
#include "jujubespan/mesh/balancer.hpp"
#include "jujubespan/mesh/call.hpp"
#include "jujubespan/mesh/configuration.hpp"
#include "jujubespan/mesh/configuration_age.hpp"
#include "jujubespan/mesh/entry_admission.hpp"
#include "jujubespan/mesh/header_names.hpp"
#include "jujubespan/mesh/instance_directory.hpp"
#include "jujubespan/mesh/leaving_instances.hpp"
#include "jujubespan/mesh/mesh_metrics.hpp"
#include "jujubespan/mesh/organisation_table.hpp"
#include "jujubespan/mesh/running_calls.hpp"
#include "jujubespan/mesh/suspect_requests.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubespan::mesh
{

/// @brief State that the egress and the guard of a node share.
struct mesh_state
{
    mechanism_set mechanisms;
    running_calls running;
    entry_admission admission;
    mesh_metrics metrics;
    leaving_instances leaving;
    suspect_requests suspects;
};

/// @brief Settings of an egress.
struct egress_options
{
    std::string service; ///< Service of the local backend server.
    std::string failure_domain;
    header_names names;
    /// Age of the configuration above which requests that need a key are
    /// refused; empty: none.
    std::optional<duration> max_configuration_age;
};

/// @brief Routes the requests of clients and of the local backend server to
/// instances, and responds to each request exactly once.
///
/// Does no I/O and reads no clock. Not thread safe.
class egress
{
public:
    egress(egress_options options, mesh_state& shared, client_port& clients,
           routed_call_port& peers, std::uint64_t seed);

    void on_request(std::uint64_t exchange, http_request request,
                    time_point now);

    /// @brief The sender of a request closed its connection before the
    /// response.
    void on_client_disconnected(std::uint64_t exchange, time_point now);

    void on_reply(std::uint64_t call, const routed_reply& reply,
                  time_point now);

    /// @brief The connection to a node is lost; calls in flight to it get no
    /// reply.
    void on_peer_lost(std::string_view peer, time_point now);

    /// @brief A node announced that it is stopping.
    void on_peer_stopping(std::string_view peer, time_point now);

    /// @brief A node answered over the connection that this node opened. Such
    /// connections follow each other, so that another incarnation is that of
    /// its next process, whatever the clock was when it started.
    void on_peer_seen(std::string_view peer, std::uint64_t incarnation);

    /// @brief Ends requests whose deadline has passed and updates the
    /// admission of new ones; to be called every ten to twenty milliseconds.
    void on_tick(time_point now);

    /// @brief Sets the source of tokens for requests of organisations with an
    /// allowance; null: allowances are not enforced.
    void set_allowances(allowance_spender* spender) { allowances_ = spender; }

    /// @brief The spender may have received tokens; sends waiting requests.
    void on_allowance_tokens(time_point now);

    void apply(std::shared_ptr<const configuration> next);
    void apply(const instance_directory& list, time_point now);

    /// @brief The configuration in force contains everything that its source
    /// acknowledged before `as_of`.
    void confirm_configuration(time_point as_of, time_point now);

    /// @brief Refuses new requests as not run; requests in flight continue.
    void stop_admitting() { stopped_admitting_ = true; }

    /// @brief Makes no further attempt at requests in flight.
    void stop_attempts() { stopped_attempts_ = true; }

    [[nodiscard]] std::uint64_t configuration_version() const
    {
        return table_ ? table_->version() : 0;
    }
    /// @return empty if the configuration was never confirmed.
    [[nodiscard]] std::optional<duration>
    configuration_age(time_point now) const
    {
        return age_.age(now);
    }
    [[nodiscard]] std::size_t in_flight() const
    {
        return calls_.size() + waiting_.size();
    }

private:
    struct open_call
    {
        std::uint64_t exchange{0};
        std::shared_ptr<const configuration> source; // owns `matched_route`
        const route* matched_route{nullptr};
        bool is_nested{false};
        /// Sender of a client's request, if it needs a key. Owned by `source`.
        const organisation* sender{nullptr};
        bool charged{false}; // A token of the sender's allowance was taken.
        routed_call message;
        time_point received_at{};
        time_point response_deadline{};
        bool uses_route_timeout{false};
        std::vector<std::string> tried_instances;
        // Attempts that may have reached a backend server.
        unsigned backend_arrivals{0};
        // Computed when it is first needed.
        std::optional<request_fingerprint> fingerprint;
        bool may_have_run{false};
        // Error response of a backend server to an earlier attempt.
        std::optional<engine::answer> server_error;
        // Address of the node that the attempt in flight was sent to.
        std::string peer;
        // Id of the instance that the attempt was sent to.
        std::string instance;
    };

    // A client's request that waits for a token.
    struct waiting_request
    {
        open_call call;
        time_point until{};
    };

    using call_map = absl::flat_hash_map<std::uint64_t, open_call>;

    std::optional<engine::answer> prepare_call(const http_request& request,
                                               time_point now, open_call& call);
    std::optional<engine::answer> identify_sender(const http_request& request,
                                                  time_point now,
                                                  open_call& call);
    // Whether requests with keys are refused, which is logged when it changes.
    bool update_staleness(time_point now);
    void set_deadline(const http_request& request, time_point now,
                      open_call& call);
    bool send_attempt(open_call& call, time_point now);
    [[nodiscard]] static request_fingerprint fingerprint_of(open_call& call);
    [[nodiscard]] bool is_suspected(open_call& call, time_point now) const;
    [[nodiscard]] std::optional<engine::answer>
    refuse_suspect(open_call& call, time_point now) const;
    void retry_or_finish(open_call call, const engine::answer& last,
                         time_point now);
    void charge_and_dispatch(open_call call, time_point now);
    void expire_waiting(time_point now);
    void remove_waiting(std::uint64_t exchange, time_point now);
    void refuse_for_allowance(const open_call& call, time_point now);
    void refund_if_not_run(const open_call& call, const engine::answer& answer,
                           time_point now);
    void dispatch(open_call call, const engine::answer& answer_if_unsent,
                  time_point now);
    void record_reply(open_call& call, const routed_reply& reply,
                      time_point now);
    void record_leaving(const open_call& call, const routed_reply& reply);
    void record_feedback(const open_call& call, const routed_reply& reply,
                         time_point now);
    void update_pressures(time_point now);
    void record_pressure(std::string_view service, double pressure,
                         bool is_downstream, time_point now);
    [[nodiscard]] bool
    prepare_retry(open_call& call, const engine::answer& last, time_point now);
    [[nodiscard]] bool retries_suspended(std::string_view service,
                                         time_point now) const;
    void finish_request(open_call& call, const engine::answer& last,
                        time_point now);
    void refuse_request(const open_call& call, const engine::answer& answer);
    void cancel_attempt(std::uint64_t id, open_call& call, time_point now);
    [[nodiscard]] open_call remove_call(call_map::iterator found);
    void send_response(const open_call& call, const engine::answer& answer);
    [[nodiscard]] balancer& balancer_of(std::string_view service);
    /// @brief Calls `action` for the instances of a node.
    void for_each_instance_at(
        std::string_view peer,
        const std::function<void(balancer&, std::string_view id)>& action);

    egress_options options_;
    mesh_state& shared_;
    client_port& clients_;
    routed_call_port& peers_;
    std::mt19937_64 random_;
    std::optional<route_table> table_;
    std::optional<organisation_table> organisations_;
    mesh::configuration_age age_;
    bool configuration_stale_{false}; ///< At the last check.
    string_map<balancer> balancers_;
    string_map<std::string> call_addresses_; // by instance id
    string_map<std::uint64_t> incarnations_; // by instance id
    // Last reply to a call of the local backend server, by service.
    string_map<time_point> last_nested_call_at_;
    string_map<time_point> retries_suspended_until_; // by service
    route_costs costs_;
    call_map calls_;
    time_point next_pressure_update_{};
    bool stopped_admitting_{false};
    bool stopped_attempts_{false};
    allowance_spender* allowances_{nullptr};
    std::map<std::uint64_t, waiting_request> waiting_; // in order of arrival
    std::uint64_t next_waiting_{1};
    // Keys in `waiting_`, by exchange.
    absl::flat_hash_map<std::uint64_t, std::uint64_t> waiting_ids_;
    string_map<time_point> allowance_logged_at_; // by organisation
    absl::flat_hash_map<std::uint64_t, std::uint64_t> call_ids_;
    absl::btree_set<std::pair<time_point, std::uint64_t>> deadlines_;
    std::uint64_t next_id_{1};
};

} // namespace jujubespan::mesh

#endif
