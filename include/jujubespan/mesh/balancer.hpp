#ifndef JUJUBESPAN_MESH_BALANCER_HPP
#define JUJUBESPAN_MESH_BALANCER_HPP

#include "jujubespan/mesh/attempt_outcome.hpp"
#include "jujubespan/mesh/entry_admission.hpp"
#include "jujubespan/policy/instance.hpp"
#include "jujubespan/policy/mechanism.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"
#include "jujubespan/policy/upstream_set.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Selects an instance of one service for each attempt.
///
/// The cost of an instance grows with its measured latency, its load and its
/// failure rate. It is lower for instances in this node's failure domain while
/// these have free slots. The instance with the lowest cost among a few random
/// candidates is selected, so that nodes with the same view of the loads do
/// not all select the same instance.
class balancer
{
public:
    /// @param failure_domain failure domain of this node.
    explicit balancer(std::string failure_domain, mechanism_set mechanisms = {})
        : failure_domain_(std::move(failure_domain)), mechanisms_(mechanisms)
    {
    }

    /// @brief Replaces the list of instances. Statistics of instances that
    /// remain are kept.
    void apply(std::span<const instance> list, time_point now);

    /// @brief Selects an instance.
    /// @param exclude ids of the instances already tried for this request.
    /// @return id of an instance; nothing when none is usable.
    std::optional<std::string> pick(std::span<const std::string> exclude,
                                    std::mt19937_64& random, time_point now);

    /// @brief Selects an instance by a key. Nodes that use the same instances
    /// select the same one, whatever their loads.
    /// @param exclude ids of the instances already tried for this request.
    /// @return id of an instance; nothing when none is usable.
    std::optional<std::string> pick_by_key(std::uint64_t key,
                                           std::span<const std::string> exclude,
                                           time_point now);

    void on_attempt_start(std::string_view id, time_point now);

    /// The load that came with the reply is to be recorded before.
    /// @param latency time that the call spent at the instance's node; zero
    /// when it is not known.
    void on_attempt_end(std::string_view id, attempt_outcome outcome,
                        duration latency, time_point now);

    void on_load(std::string_view id, upstream_load load, time_point now);

    /// @brief Records the rate limit of an instance, in requests per second;
    /// nothing: it has none.
    /// @return true when a limit begins or ends.
    bool on_rate_limit(std::string_view id, std::optional<double> rate_limit);

    [[nodiscard]] std::optional<double> rate_limit(std::string_view id) const;

    /// @brief The node of an instance announced that it is stopping. Until its
    /// next process is seen, the instance is used only if there is no other: a
    /// stopping node serves calls for some time.
    void on_node_stopping(std::string_view id, time_point now);

    /// @brief The node of an instance answered. If it has restarted, what its
    /// previous process announced and how it failed no longer counts.
    /// @param incarnation of the node's process.
    /// @return true if it has restarted.
    bool on_node_seen(std::string_view id, std::uint64_t incarnation);

    /// @brief The backend server of an instance announced that it stops. The
    /// instance is not used again in this lifetime.
    /// @return false when it is not listed or known to be leaving.
    bool on_backend_leaving(std::string_view id);

    /// @brief Ratio of the calls in progress to the concurrency limits, summed
    /// over the reachable instances with a recent load report.
    /// @return nothing when less than half of the reachable instances have
    /// one; `unavailable_pressure` when no instance is reachable.
    [[nodiscard]] std::optional<double> pressure(time_point now) const;

private:
    struct member
    {
        instance info;
        std::uint32_t in_flight{0};
        upstream_load load;
        time_point load_at{};
        time_point last_reply_at{};
        time_point waiting_since{}; // first call since the last reply
        // Seconds at the usual speed, smoothed; zero: unknown.
        double latency{0};
        double mean_slowness{1}; // of the attempts in `latency`, smoothed
        double failure_rate{0};  // share of recent attempts, smoothed
        time_point failure_rate_at{};
        unsigned unreachable_count{0};
        time_point avoid_until{};
        std::uint64_t node_incarnation{0}; // zero: not seen yet
        time_point node_stopping_until{};
        time_point next_probe_at{};
        std::optional<double> rate_limit;
        time_point paced_until{}; // Refused a call for its rate limit.
    };

    member* find(std::string_view id);
    [[nodiscard]] const member* find(std::string_view id) const;
    /// @brief Removes the members that match, unless all do.
    static void prefer_without(std::vector<member*>& pool,
                               const std::function<bool(const member&)>& match);
    [[nodiscard]] static double failure_rate_of(const member& m,
                                                time_point now);
    /// @brief Slow-down factor; the usual one of the instance if it has not
    /// reported any for a second.
    [[nodiscard]] double slowness_of(const member& m, time_point now) const;
    [[nodiscard]] double latency_of(const member& m, time_point now) const;
    [[nodiscard]] double load_of(const member& m, time_point now) const;
    [[nodiscard]] bool is_local(const member& m) const;
    void sample_candidates(std::vector<member*>& pool,
                           std::mt19937_64& random) const;
    [[nodiscard]] double cost_of(const member& m, double reference_latency,
                                 time_point now) const;
    /// @brief The members that may be used, without those that are stopping or
    /// could not be reached recently while there are others.
    [[nodiscard]] std::vector<member*>
    usable_members(std::span<const std::string> exclude, time_point now);
    /// @brief True when an instance has several unanswered calls and has sent
    /// no reply for too long.
    [[nodiscard]] bool is_unresponsive(const member& m, time_point now) const;
    /// @brief Removes the outliers from a pool.
    /// @return an outlier that is due for a probe instead; null when none is.
    member* probe_or_drop_outliers(std::vector<member*>& pool,
                                   time_point now) const;
    [[nodiscard]] double best_latency(std::span<member* const> pool,
                                      time_point now) const;
    [[nodiscard]] bool enabled(mechanism item) const
    {
        return mechanisms_.enabled(item);
    }

    std::string failure_domain_;
    mechanism_set mechanisms_;
    std::vector<member> members_;
};

} // namespace jujubespan::mesh

#endif
