#ifndef JUJUBESPAN_MESH_BALANCER_HPP
#define JUJUBESPAN_MESH_BALANCER_HPP

#include "jujubespan/mesh/attempt_outcome.hpp"
#include "jujubespan/mesh/entry_admission.hpp"
#include "jujubespan/policy/instance.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"
#include "jujubespan/policy/upstream_set.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Chooses among the instances of one service.
///
/// The cost of an instance grows with its measured latency, its load and the
/// share of attempts that fail there, and is lower in the own failure domain
/// while there is room. One of a few random candidates with the least cost is
/// chosen, so that nodes that see the same loads do not all choose the same
/// instance.
class balancer
{
public:
    /// @param domain failure domain of this node.
    explicit balancer(std::string failure_domain)
        : failure_domain_(std::move(failure_domain))
    {
    }

    /// @brief Replaces the list; what is known of instances that stay is
    /// kept.
    void apply(std::span<const instance> list, time_point now);

    /// @param exclude ids already tried for this request.
    /// @return id of an instance, or nothing when none is usable.
    std::optional<std::string> pick(std::span<const std::string> exclude,
                                    std::mt19937_64& random, time_point now);

    void on_attempt_start(std::string_view id, time_point now);

    /// @param latency time that the instance's node held the request; zero
    /// when it is not known.
    void on_attempt_end(std::string_view id, attempt_outcome outcome,
                        duration latency, time_point now);

    void on_load(std::string_view id, upstream_load load, time_point now);

    /// @brief The node of an instance said that it is stopping.
    void on_leaving(std::string_view id, time_point now);

    /// @brief Calls in progress at the reachable instances over their limits,
    /// as they told lately.
    /// @return nothing when too few told; `unavailable_pressure` when no
    /// instance can be reached.
    [[nodiscard]] std::optional<double> pressure(time_point now) const;

private:
    struct member
    {
        instance info;
        std::uint32_t in_flight{0};
        upstream_load load;
        time_point load_at{};
        time_point last_reply_at{}; // last reply
        time_point waiting_since{}; // start of the first call since then
        double latency{0};          // seconds, smoothed; zero: not known
        double failure_rate{0};     // share of recent attempts
        time_point failure_rate_at{};
        unsigned unreachable_count{0};
        time_point avoid_until{};
        time_point leaving_until{};
        time_point next_probe_at{};
    };

    member* find(std::string_view id);
    [[nodiscard]] static double failure_rate_of(const member& m,
                                                time_point now);
    [[nodiscard]] static double load_of(const member& m, time_point now);
    [[nodiscard]] bool is_local(const member& m) const;
    void sample_candidates(std::vector<member*>& pool,
                           std::mt19937_64& random) const;
    [[nodiscard]] double cost_of(const member& m, double reference,
                                 time_point now) const;
    [[nodiscard]] std::vector<member*>
    usable_members(std::span<const std::string> exclude, time_point now);
    /// @return an outlier whose probe is due, which goes before the others.
    /// @brief True when an instance owes answers and is silent for too long.
    [[nodiscard]] static bool is_unresponsive(const member& m, time_point now);
    static member* probe_or_drop_outliers(std::vector<member*>& pool,
                                          time_point now);
    static double best_latency(std::span<member* const> pool);

    std::string failure_domain_;
    std::vector<member> members_;
};

} // namespace jujubespan::mesh

#endif
