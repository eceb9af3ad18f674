#ifndef JUJUBESPAN_MESH_GUARD_HPP
#define JUJUBESPAN_MESH_GUARD_HPP

#include "jujubespan/engine/admission_gate.hpp"
#include "jujubespan/mesh/announced_limit.hpp"
#include "jujubespan/mesh/call.hpp"
#include "jujubespan/mesh/egress.hpp"
#include "jujubespan/mesh/instance_directory.hpp"
#include "jujubespan/mesh/recent_completions.hpp"
#include "jujubespan/mesh/request_fingerprint.hpp"
#include "jujubespan/mesh/server_announcement.hpp"
#include "jujubespan/mesh/server_end_detector.hpp"
#include "jujubespan/mesh/server_load.hpp"
#include "jujubespan/mesh/suspect_requests.hpp"
#include "jujubespan/policy/memory_account.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Settings of a guard.
struct guard_options
{
    std::string service;
    std::string backend_address; ///< As listed by discovery.
    header_names names;
    bool protection{true}; ///< False: calls start without a concurrency limit.
    duration queue_wait{std::chrono::milliseconds(100)};
    std::size_t max_queue{512};
    /// Limit of the request bodies of all calls in progress.
    std::size_t max_body_bytes{64U << 20U};
    /// The account of the process, in which calls that wait to start are
    /// counted; null: none.
    std::shared_ptr<memory_account> memory{};
    retry_budget_options retry_budget;
    /// True when the whole fleet starts now; see guard_retry_budget.
    bool fleet_starting{false};
};

/// @brief Admission control in front of the backend server of this node.
///
/// Refuses calls that must not or cannot run there, queues or starts the
/// others, and derives the outcome of each call from the response.
///
/// Does no I/O and reads no clock. Not thread safe.
class guard final : public engine::backend_events
{
public:
    guard(guard_options options, mesh_state& shared,
          engine::backend_port& backend, routed_reply_port& replies,
          time_point now);

    /// @brief Sets what frees memory before a call is refused for lack of it.
    void set_reclaimer(memory_reclaimer& reclaimer)
    {
        memory_.set_reclaimer(&reclaimer);
    }

    void on_call(std::uint64_t exchange, routed_call call, time_point now);

    /// @brief The sender of a call cancelled it. No reply is sent.
    void on_cancelled(std::uint64_t exchange, time_point now);

    void on_backend_exchange_end(std::uint64_t call, engine::backend_end end,
                                 http_response response,
                                 time_point now) override;
    void on_backend_probe_end(engine::backend_probe_result result,
                              time_point now) override;

    /// @brief Sets the port to which the ends of the backend server's process
    /// are reported; null: none.
    void set_suspicion_port(suspicion_port* port) { suspicion_port_ = port; }

    /// @brief Adds what another node knows about suspects.
    void on_suspicion_report(const suspicion_report& report, time_point now);

    /// @brief Ends calls whose deadline has passed and starts queued calls; to
    /// be called every ten to twenty milliseconds.
    void on_tick(time_point now);

    /// @brief Applies the instance list. The guard keeps a reference to it.
    void apply(const instance_directory& list, time_point now);

    void apply(const retry_budget_options& options)
    {
        retry_budget_.apply(options);
    }

    /// @brief Sets whether requests need keys. If so, the headers of the key
    /// and of the organisation that a sender passed on are removed.
    void set_keys_required(bool required) { keys_required_ = required; }

    /// @brief Marks all later replies as sent by a node that is stopping.
    /// Calls are still admitted.
    void begin_drain() { leaving_ = true; }

    /// @brief Refuses new calls as not run; calls in progress continue.
    void stop_admitting() { stopped_admitting_ = true; }

    /// @brief Refuses the calls that wait in the queue as not run, so that
    /// other instances can run them. To be called after `stop_admitting`.
    void stop_starting(time_point now);

    [[nodiscard]] const suspect_requests& suspects() const
    {
        return shared_.suspects;
    }
    [[nodiscard]] std::size_t in_flight() const { return calls_.size(); }
    /// @brief Size of the request bodies of all calls in progress.
    [[nodiscard]] std::size_t body_bytes() const { return body_bytes_; }
    [[nodiscard]] upstream_load load(time_point now) const;

private:
    struct pending_call
    {
        routed_call message;
        time_point received_at{};
        time_point started_at{};
        bool running{false};
        std::size_t body_bytes{0};
        std::size_t waiting_bytes{0}; ///< Part of `memory_`; zero once started.
        request_fingerprint fingerprint{0};
        request_standing standing{request_standing::clear}; // at its start
    };

    struct timed_request
    {
        request_fingerprint request{0};
        time_point at;
    };

    // An end of the backend server's process, which is reported several times
    // since a report may be lost.
    struct reported_end
    {
        server_end end;
        time_point at;
        std::size_t times_sent{0};
    };

    using call_map = absl::flat_hash_map<std::uint64_t, pending_call>;

    [[nodiscard]] std::optional<engine::reason>
    reason_to_refuse(const routed_call& call, time_point now) const;
    [[nodiscard]] bool has_room_for(const routed_call& call);
    [[nodiscard]] bool spend_retry_budget(const routed_call& call,
                                          time_point now);
    [[nodiscard]] static bool earns_retry_budget(const routed_call& call);
    void log_retry_budget(time_point now);
    void start_call(std::uint64_t id, time_point now);
    void run_queued_calls(time_point now);
    void refuse_call(std::uint64_t id, engine::reason cause, time_point now);
    [[nodiscard]] engine::answer
    classify_response(http_response response) const;
    void record_announcement(const pending_call& call,
                             const http_response& response, time_point now);
    void record_server_load(const pending_call& call,
                            const http_response& response, time_point now);
    void return_late_calls(time_point now);
    void record_known_limit(const routed_call& call, time_point now);
    void apply_rate_limit(time_point now);
    [[nodiscard]] engine::reason full_queue_reason(time_point now) const;
    [[nodiscard]] std::uint64_t incarnation_of(std::string_view id) const;
    [[nodiscard]] bool announced_leaving(std::string_view id) const;
    void on_exchange_failed(call_map::iterator found, time_point now);
    void finish_failed_calls(bool server_ended, time_point now);
    void finish_failed_call(call_map::iterator found, bool server_ended,
                            time_point now);
    void log_failed_call(const pending_call& call, const routed_reply& reply,
                         time_point now) const;
    void record_server_end(time_point now);
    [[nodiscard]] std::vector<request_fingerprint>
    requests_to_suspect(time_point now) const;
    void log_quarantined(std::span<const request_fingerprint> requests) const;
    void record_completion(const pending_call& call,
                           const engine::answer& result, time_point now);
    void send_reports(time_point now);
    void update_suspects(time_point now);
    [[nodiscard]] bool must_not_start(request_fingerprint request,
                                      time_point now) const;
    void finish_call(call_map::iterator found, routed_reply reply,
                     time_point now);
    pending_call remove_call(call_map::iterator found);
    void release_slot(const pending_call& call, bool completed, time_point now);
    void send_reply(std::uint64_t exchange, routed_reply reply, time_point now);

    guard_options options_;
    mesh_state& shared_;
    engine::backend_port& backend_;
    routed_reply_port& replies_;
    engine::admission_gate gate_;
    guard_retry_budget retry_budget_;
    retry_budget_counters logged_budget_; // those of the last log line
    time_point next_budget_log_{};
    const instance_directory* instances_{nullptr};
    /// Slots of the backend server as listed by discovery; zero: not known.
    std::uint32_t published_slots_{0};
    bool leaving_{false};
    bool keys_required_{false};
    bool stopped_admitting_{false};
    server_announcement announcement_; // of the latest readable response
    announced_limit rate_limit_;
    server_speed speed_;
    time_point next_load_defect_log_{};
    server_end_detector end_detector_;
    // Ids of calls whose exchanges failed and whose replies wait for a probe.
    std::vector<std::uint64_t> failed_calls_;
    time_point first_failure_at_{}; // when the first of them failed
    // Cancelled while they ran; the server may run them for a moment longer.
    std::deque<timed_request> cancelled_requests_;
    recent_completions recent_completions_;
    absl::flat_hash_set<request_fingerprint> running_suspects_;
    bool isolated_call_runs_{false};
    suspicion_port* suspicion_port_{nullptr};
    std::vector<timed_request> unsent_completions_; // of suspects
    std::vector<reported_end> reported_ends_;
    std::uint64_t next_end_id_;
    time_point next_expiry_{};
    call_map calls_; // by exchange id
    std::size_t body_bytes_{0};
    memory_account memory_; // of calls that wait to start
    absl::btree_set<std::pair<time_point, std::uint64_t>> deadlines_;
};

} // namespace jujubespan::mesh

#endif
