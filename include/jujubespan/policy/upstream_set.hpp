#ifndef JUJUBESPAN_POLICY_UPSTREAM_SET_HPP
#define JUJUBESPAN_POLICY_UPSTREAM_SET_HPP

#include "jujubespan/policy/instance.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan
{

/// @brief Outcome of one attempt at an upstream, as far as it concerns the
/// upstream's health.
enum class attempt_result
{
    success,
    refused, ///< Overloaded or leaving, but healthy.
    failure  ///< No reply, or its backend server is unreachable.
};

/// @brief Load that an upstream reported about itself.
struct upstream_load
{
    std::uint32_t in_flight{0};
    std::uint32_t limit{0}; ///< Zero when not reported.
    /// Execution time relative to the usual one; zero when not known.
    float slowness{0};
};

/// @brief Parameters of upstream selection.
struct routing_options
{
    std::size_t subset_size{8};
    duration slow_start{std::chrono::seconds(10)};
    duration load_lifetime{std::chrono::seconds(1)};
    duration initial_ejection{std::chrono::seconds(1)};
    duration max_ejection{std::chrono::seconds(30)};
    unsigned failures_to_eject{3};
    /// Share of the subset that is never ejected.
    double min_serving_share{0.5};
};

/// @brief The upstreams of one service as one node uses them.
///
/// Information from the upstreams themselves (replies, notices, outcomes of
/// calls) takes precedence over the instance list, which is updated later.
class upstream_set
{
public:
    /// @param self id of this node; determines its subset.
    /// @param domain failure domain of this node; its upstreams are preferred.
    upstream_set(std::string self, std::string domain, routing_options options);

    /// @brief Applies the instance list of this service.
    /// @param slow_start_added whether added members begin with a slow start;
    /// false for the first list after a start of this node, whose members are
    /// not new.
    void apply(std::span<const instance> list, bool slow_start_added,
               time_point now);

    /// @brief Chooses the less utilised of two random upstreams.
    /// @param random uniform 64-bit number.
    /// @param exclude ids already tried for this call.
    /// @return empty when no upstream is available.
    std::optional<std::string> pick(std::uint64_t random,
                                    std::span<const std::string> exclude,
                                    time_point now);

    /// @brief Returns whether an upstream not yet tried has spare capacity.
    [[nodiscard]] bool has_spare_capacity(std::span<const std::string> tried,
                                          time_point now) const;

    /// @brief Counts a call as in flight at an upstream.
    void on_start(std::string_view id, time_point now);

    /// @brief Records the outcome of a call and updates the upstream's health.
    void on_finish(std::string_view id, attempt_result result, time_point now);

    /// @brief Records the load that an upstream reported.
    void on_load(std::string_view id, upstream_load load, time_point now);

    /// @brief Returns whether an upstream has reported its load after a time.
    [[nodiscard]] bool has_reported_since(std::string_view id,
                                          time_point since);

    /// @brief Records that an upstream announced that it is leaving.
    void on_leaving(std::string_view id);

    /// @brief Records that a new incarnation of an upstream was seen.
    void on_restart(std::string_view id, time_point now);

    /// @brief Discards loads, failures and ejections, for example after a
    /// pause.
    void reset_observations();

    [[nodiscard]] std::size_t size() const { return members_.size(); }

    /// @brief Number of upstreams that are ejected at present.
    [[nodiscard]] std::size_t ejected_count(time_point now) const;

    /// @brief Ids of the upstreams in the subset that this node uses.
    [[nodiscard]] std::vector<std::string> subset() const;

private:
    struct member
    {
        instance info;
        bool announced_leaving{false};
        bool in_subset{false};
        /// A call that tests an ejected upstream is in flight.
        bool trial_in_flight{false};
        std::uint32_t in_flight{0};
        upstream_load load;
        time_point load_reported_at{};
        time_point joined_at{};
        unsigned failures{0};
        unsigned ejections{0};
        time_point ejected_until{};
    };

    member* find(std::string_view id);
    void choose_subset();
    [[nodiscard]] double utilisation(const member& m, time_point now) const;
    [[nodiscard]] bool is_available(const member& m, time_point now) const;
    [[nodiscard]] bool is_ejection_allowed(time_point now) const;
    void eject(member& m, time_point now);
    std::vector<member*> candidates(std::span<const std::string> exclude,
                                    bool own_domain, time_point now);

    std::string self_;
    std::string domain_;
    routing_options options_;
    std::vector<member> members_;
};

} // namespace jujubespan

#endif
