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

/// @brief The calls of one node and every decision about them.
///
/// Does no I/O and reads no clock: events come in through `on_...`, effects
/// go out through the ports. Not thread safe.
class call_engine final : public backend_events
{
public:
    /// @param incarnation differs at each start of the node.
    /// @param seed of all random choices.
    call_engine(const config::settings& options, std::uint64_t incarnation,
                std::uint64_t seed, backend_port& backend, peer_port& peers,
                time_point now);

    /// @brief A caller's request arrived.
    void on_caller_request(reply_to origin, http_request request,
                           time_point now);

    /// @brief The own backend server calls another service.
    void on_outbound_request(reply_to origin, http_request request,
                             time_point now);

    /// @brief A peer's call arrived.
    void on_peer_call(reply_to origin, peer_call call, time_point now);

    /// @brief A peer answered a call.
    void on_peer_reply(std::string_view peer, std::uint64_t call, answer value,
                       time_point now);

    /// @brief The connection to a peer was lost; calls on it have no answer.
    void on_peer_lost(std::string_view peer, time_point now);

    /// @brief A peer said that it is leaving.
    void on_peer_leaving(std::string_view peer);

    /// @brief A peer was seen with a new incarnation.
    void on_peer_restart(std::string_view peer, time_point now);

    /// @brief A peer reported its load.
    void on_peer_load(std::string_view peer, upstream_load load,
                      time_point now);

    /// @brief The receiver of an answer is gone.
    void on_origin_disconnected(reply_to origin, time_point now);

    /// @brief An exchange with the backend server ended.
    void on_backend_end(std::uint64_t call, backend_end end,
                        http_response response, time_point now) override;

    /// @brief Time passes; call about every ten milliseconds.
    void on_tick(time_point now);

    /// @brief Applies a revision of the contracts.
    void apply_contracts(std::shared_ptr<const contract_table> table);

    /// @brief Applies the instance list.
    void apply_instances(std::span<const instance> list, time_point now);

    /// @brief Stops taking new work; work in flight goes on.
    void begin_drain() { leaving_ = true; }

    /// @brief True when no call is in flight.
    [[nodiscard]] bool idle() const
    {
        return inbound_.empty() && outbound_.empty();
    }

    [[nodiscard]] bool leaving() const { return leaving_; }
    [[nodiscard]] upstream_load load(time_point now) const;
    [[nodiscard]] node_status status(time_point now) const;
    [[nodiscard]] const engine_metrics& metrics() const { return metrics_; }
    [[nodiscard]] const decision_log& decisions() const { return decisions_; }
    [[nodiscard]] customer_guard& customers() { return customers_; }
    [[nodiscard]] const contract_table& contracts() const { return *table_; }

private:
    enum class stage
    {
        queued,
        running
    };

    // What to do with a request that must run at most once.
    struct ticket_step
    {
        enum class action
        {
            run,
            answer_now,
            joined,
            forward
        };
        action next{action::run};
        answer value;
        std::optional<ticket> owner;
    };

    // A call of the backend server that carried an Idempotency-Key.
    struct keyed_child
    {
        std::uint64_t call{0};
        std::optional<answer> done;
    };

    struct inbound_call
    {
        reply_to origin;
        std::vector<reply_to> joined;
        call_context context;
        http_request request;
        std::shared_ptr<const config::contract> terms;
        std::string method; ///< Id of the rule.
        retry_budget budget{0};
        stage at{stage::queued};
        bool from_caller{false};
        bool forwarded{false};
        std::string token;
        std::uint64_t ticket_number{0}; ///< Zero: no ticket.
        time_point arrived{};
        time_point started{};
        std::uint32_t open_children{0};
        time_point children_since{};
        duration children_time{};
        absl::flat_hash_set<std::uint64_t> children;
        string_map<keyed_child> keyed; ///< By Idempotency-Key.
    };

    struct outbound_call
    {
        reply_to origin;
        std::vector<reply_to> joined;
        std::uint64_t parent{0}; ///< Zero: a root or a forwarded call.
        call_context context;
        http_request request;
        std::string service;
        std::string method; ///< Id of the rule called.
        std::string root_method;
        std::string key; ///< Idempotency-Key of the backend server.
        bool forwarded{false};
        std::optional<ticket> owner;
        retry_budget budget{0}; ///< Used when there is no parent.
        std::uint32_t lent{0};
        std::vector<std::string> tried;
        std::string peer;
        std::uint64_t attempt{0}; ///< Zero: none in flight.
        time_point attempt_started{};
        time_point attempt_deadline{};
    };

    using origin_key = std::pair<reply_port*, std::uint64_t>;

    // Entry of requests.
    void start_of_event(time_point now);
    std::optional<answer> check_root(const http_request& request,
                                     inbound_call& call, time_point now);
    std::optional<answer> admit_root(inbound_call& call, time_point now);
    ticket_step check_ticket(inbound_call& call, time_point now);
    ticket_step judge_own_ticket(inbound_call& call, const ticket& presented,
                                 time_point now);
    std::optional<answer> check_peer_call(const inbound_call& call,
                                          std::string_view service,
                                          time_point now) const;
    void enter(inbound_call call, time_point now);
    void run(std::uint64_t id, time_point now);
    void pump(time_point now);

    // Ends of inbound calls.
    void finish(std::uint64_t id, answer value, time_point now);
    void release_children(const inbound_call& call, time_point now);
    void settle_ticket(const inbound_call& call, const answer& value);
    void answer_caller(const inbound_call& call, answer value, time_point now);
    void send(const inbound_call& call, answer value, time_point now);
    [[nodiscard]] std::vector<service_level>
    levels_to_report(std::string_view method, time_point now) const;
    void note(const call_context& context, std::string_view method,
              const answer& value, time_point now);
    duration overload_retry_after();

    // Outbound calls.
    std::optional<answer> check_child(const inbound_call& parent,
                                      const http_request& request,
                                      outbound_call& call, time_point now);
    void root_outbound(reply_to origin, http_request request,
                       std::string service, time_point now);
    bool join_keyed(inbound_call& parent, reply_to origin,
                    const http_request& request);
    void forward(inbound_call&& call, std::optional<ticket> owner,
                 time_point now);
    void launch(outbound_call&& call, time_point now);
    bool send_attempt(std::uint64_t id, time_point now);
    bool should_retry(outbound_call& call, const answer& value, time_point now);
    retry_budget& budget_of(outbound_call& call);
    void end_attempt(std::uint64_t id, answer value, attempt_result result,
                     time_point now);
    void finish_outbound(std::uint64_t id, answer value, time_point now);
    void drop_attempt(outbound_call& call, attempt_result result,
                      time_point now);
    void cancel_outbound(std::uint64_t id, time_point now);
    void count(const call_context& context, const answer& value,
               time_point arrived, time_point now);
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
    pause_detector pauses_;
    admission_gate gate_;
    customer_guard customers_;
    level_table levels_;
    ticket_ledger tickets_;
    decision_log decisions_;
    engine_metrics metrics_;
    std::shared_ptr<const contract_table> table_;
    bool have_instances_{false};
    bool leaving_{false};
    std::uint64_t next_id_{1};
    time_point next_housekeeping_{};
    time_point last_closed_{};

    absl::flat_hash_map<std::uint64_t, inbound_call> inbound_;
    absl::flat_hash_map<std::uint64_t, outbound_call> outbound_;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> attempts_;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> ticket_calls_;
    absl::flat_hash_map<origin_key, std::uint64_t> origins_;
    absl::btree_set<std::pair<time_point, std::uint64_t>> deadlines_;
    absl::btree_set<std::pair<time_point, std::uint64_t>> attempt_deadlines_;
    string_map<std::uint64_t> tokens_;
    string_map<std::unique_ptr<upstream_set>> upstreams_;
    string_map<std::string> service_of_;
};

} // namespace jujubespan::engine

#endif
