#ifndef JUJUBESPAN_ENGINE_CALL_ENGINE_HPP
#define JUJUBESPAN_ENGINE_CALL_ENGINE_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/engine/admission_gate.hpp"
#include "jujubespan/engine/call.hpp"
#include "jujubespan/engine/contract_table.hpp"
#include "jujubespan/engine/customer_guard.hpp"
#include "jujubespan/engine/decision_log.hpp"
#include "jujubespan/engine/engine_metrics.hpp"
#include "jujubespan/policy/level_table.hpp"
#include "jujubespan/policy/pause_detector.hpp"
#include "jujubespan/policy/retry_budget.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/ticket_ledger.hpp"
#include "jujubespan/policy/upstream_set.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::engine
{

/// @brief Tracks the calls of one node and decides about admission, routing,
/// retries and deadlines.
///
/// Does no I/O and reads no clock: the `on_...` functions report events, and
/// effects are requested through the ports. Not thread-safe.
class call_engine final : public backend_events
{
public:
    /// @param incarnation number that differs for each start of the node.
    /// @param seed seed of the random number generator.
    call_engine(const config::settings& options, std::uint64_t incarnation,
                std::uint64_t seed, backend_port& backend, peer_port& peers,
                time_point now);

    /// @brief Handles a request from a caller.
    void on_caller_request(reply_target origin, http_request request,
                           time_point now);

    /// @brief Handles a request from this node's backend server to another
    /// service.
    void on_outbound_request(reply_target origin, http_request request,
                             time_point now);

    /// @brief Handles a call from a peer.
    void on_peer_call(reply_target origin, peer_call call, time_point now);

    /// @brief Handles a peer's answer to a call attempt.
    void on_peer_reply(std::string_view peer, std::uint64_t attempt_id,
                       answer answer, time_point now);

    /// @brief Handles the loss of the connection to a peer: attempts in flight
    /// on it end without an answer.
    void on_peer_lost(std::string_view peer, time_point now);

    /// @brief Handles a peer's notice that it is leaving.
    void on_peer_leaving(std::string_view peer);

    /// @brief Handles the restart of a peer, detected by its new incarnation.
    void on_peer_restart(std::string_view peer, time_point now);

    /// @brief Handles a load report from a peer.
    void on_peer_load(std::string_view peer, upstream_load load,
                      time_point now);

    /// @brief Handles the disconnection of a receiver that waits for an answer.
    void on_origin_disconnected(reply_target origin, time_point now);

    /// @brief Handles the end of an exchange with the backend server.
    void on_backend_exchange_end(std::uint64_t call, backend_end end,
                                 http_response response,
                                 time_point now) override;

    /// @brief Processes timers; must be called about every ten milliseconds.
    void on_tick(time_point now);

    /// @brief Applies a revision of the contracts.
    void apply_contracts(std::shared_ptr<const contract_table> table);

    /// @brief Applies the instance list.
    void apply_instances(std::span<const instance> list, time_point now);

    /// @brief Marks the node as leaving: new requests are forwarded or refused,
    /// calls in flight continue.
    void begin_drain() { leaving_ = true; }

    /// @brief True when no call is in flight.
    [[nodiscard]] bool is_idle() const
    {
        return inbound_.empty() && outbound_.empty();
    }

    [[nodiscard]] bool leaving() const { return leaving_; }
    [[nodiscard]] upstream_load load(time_point now) const;
    [[nodiscard]] node_status status(time_point now) const;
    [[nodiscard]] const engine_metrics& metrics() const { return metrics_; }
    [[nodiscard]] const decision_log& decisions() const { return decisions_; }
    [[nodiscard]] customer_guard& customers() { return customers_; }
    [[nodiscard]] const contract_table& contracts() const
    {
        return *contracts_;
    }

private:
    enum class stage
    {
        queued,
        running
    };

    // Result of checking the ticket of a request that must run at most once.
    struct ticket_check
    {
        enum class action
        {
            run,
            answer_now,
            joined,
            forward
        };
        action next_action{action::run};
        answer immediate_answer;            ///< Set for `answer_now`.
        std::optional<ticket> owner_ticket; ///< Set for `forward`.
    };

    // A call made by the backend server with an Idempotency-Key. A repeated key
    // gets the same answer instead of a second call.
    struct keyed_child_call
    {
        std::uint64_t call_id{0};
        std::optional<answer> final_answer;
    };

    struct inbound_call
    {
        reply_target origin;
        std::vector<reply_target> joined_origins;
        call_context context;
        http_request request;
        std::shared_ptr<const config::contract> contract;
        std::string method; ///< Id of the matching contract rule.
        retry_budget budget{0};
        stage current_stage{stage::queued};
        bool from_caller{false};
        bool forwarded{false};
        std::string token;
        std::uint64_t ticket_number{0}; ///< Zero without a ticket.
        time_point arrived_at{};
        time_point started_at{};
        std::uint32_t pending_children{0};
        time_point children_wait_started_at{};
        duration children_wait_time{};
        absl::flat_hash_set<std::uint64_t> children;
        string_map<keyed_child_call>
            keyed_children; ///< Indexed by Idempotency-Key.
    };

    struct outbound_call
    {
        reply_target origin;
        std::vector<reply_target> joined_origins;
        std::uint64_t parent{0}; ///< Zero for a root or forwarded call.
        call_context context;
        http_request request;
        std::string service;
        std::string method; ///< Id of the called method's contract rule.
        std::string root_method;
        std::string key; ///< Idempotency-Key set by the backend server.
        bool forwarded{false};
        /// Ticket whose owner alone may run the call.
        std::optional<ticket> owner_ticket;
        retry_budget budget{0}; ///< Used only without a parent.
        std::uint32_t allocated_credits{0};
        std::vector<std::string> tried_peers;
        std::string peer;
        std::uint64_t attempt_id{0}; ///< Zero when no attempt is in flight.
        time_point attempt_started_at{};
        time_point attempt_deadline{};
    };

    using origin_key = std::pair<reply_port*, std::uint64_t>;

    // Validation and admission of requests.
    void handle_process_pause(time_point now);
    std::optional<answer> validate_root_request(const http_request& request,
                                                inbound_call& call,
                                                time_point now);
    std::optional<answer> admit_root_request(inbound_call& call,
                                             time_point now);
    ticket_check check_ticket(inbound_call& call, time_point now);
    ticket_check check_own_ticket(inbound_call& call, const ticket& presented,
                                  time_point now);
    std::optional<answer> check_peer_call(const inbound_call& call,
                                          std::string_view service,
                                          time_point now) const;
    void schedule_inbound(inbound_call call, time_point now);
    void start_backend_call(std::uint64_t id, time_point now);
    void run_queued_calls(time_point now);

    // Completion of inbound calls.
    void finish_inbound(std::uint64_t id, answer answer, time_point now);
    void cancel_children(const inbound_call& call, time_point now);
    void update_ticket(const inbound_call& call, const answer& answer);
    void answer_caller(const inbound_call& call, answer answer, time_point now);
    void send_answer(const inbound_call& call, answer answer, time_point now);
    [[nodiscard]] std::vector<service_level>
    levels_to_report(std::string_view method, time_point now) const;
    void record_outcome(const call_context& context, std::string_view method,
                        const answer& answer, time_point now);
    duration overload_retry_after();

    // Outbound calls.
    std::optional<answer> check_child(const inbound_call& parent,
                                      const http_request& request,
                                      outbound_call& call, time_point now);
    void start_root_outbound(reply_target origin, http_request request,
                             std::string service, time_point now);
    bool join_keyed_call(inbound_call& parent, reply_target origin,
                         const http_request& request);
    void forward_call(inbound_call&& call, std::optional<ticket> owner_ticket,
                      time_point now);
    void start_outbound(outbound_call&& call, time_point now);
    bool send_attempt(std::uint64_t id, time_point now);
    bool should_retry(outbound_call& call, const answer& answer,
                      time_point now);
    retry_budget& retry_budget_of(outbound_call& call);
    void end_attempt(std::uint64_t id, answer answer, attempt_result result,
                     time_point now);
    void finish_outbound(std::uint64_t id, answer answer, time_point now);
    void cancel_attempt(outbound_call& call, attempt_result result,
                        time_point now);
    void cancel_outbound(std::uint64_t id, time_point now);
    void record_latency(const call_context& context, const answer& answer,
                        time_point arrived_at, time_point now);
    void expire_deadlines(time_point now);

    upstream_set& upstreams(std::string_view service);
    upstream_set* upstreams_of(std::string_view peer);
    std::uint64_t random();
    double random_unit();
    std::string random_token();

    config::settings options_;
    backend_port& backend_;
    peer_port& peers_;
    std::mt19937_64 random_;
    pause_detector pause_detector_;
    admission_gate gate_;
    customer_guard customers_;
    level_table levels_;
    ticket_ledger tickets_;
    decision_log decisions_;
    engine_metrics metrics_;
    std::shared_ptr<const contract_table> contracts_;
    bool instances_applied_{false};
    bool leaving_{false};
    std::uint64_t next_id_{1};
    time_point next_housekeeping_at_{};
    time_point last_shedding_at_{};

    absl::flat_hash_map<std::uint64_t, inbound_call> inbound_;
    absl::flat_hash_map<std::uint64_t, outbound_call> outbound_;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> call_by_attempt_;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> call_by_ticket_;
    absl::flat_hash_map<origin_key, std::uint64_t> call_by_origin_;
    absl::btree_set<std::pair<time_point, std::uint64_t>> deadlines_;
    absl::btree_set<std::pair<time_point, std::uint64_t>> attempt_deadlines_;
    string_map<std::uint64_t> call_by_token_;
    string_map<std::unique_ptr<upstream_set>> upstreams_;
    string_map<std::string> service_by_instance_;
};

} // namespace jujubespan::engine

#endif
