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

/// @brief How one attempt at an upstream ended, for health.
enum class attempt_result
{
    success,
    refused, ///< Overloaded or leaving: healthy, but not to be preferred.
    failure  ///< No answer, or its backend server is unreachable.
};

/// @brief Load that an upstream reported about itself.
struct upstream_load
{
    std::uint32_t in_flight{0};
    std::uint32_t limit{0}; ///< Zero when not reported.
};

/// @brief Limits on routing that follow from settings.
struct routing_options
{
    std::size_t subset_size{8};
    duration slow_start{std::chrono::seconds(10)};
    duration load_lifetime{std::chrono::seconds(1)};
    duration first_ejection{std::chrono::seconds(1)};
    duration longest_ejection{std::chrono::seconds(30)};
    unsigned failures_to_eject{3};
    double ejection_floor{0.5}; ///< Share that stays in use at the least.
};

/// @brief The upstreams of one service as one node uses them.
///
/// Direct evidence (replies, notices, outcomes of calls) goes before the
/// instance list, which lags.
class upstream_set
{
public:
    /// @param self id of this node; seeds the subset.
    /// @param domain failure domain of this node; preferred.
    upstream_set(std::string self, std::string domain, routing_options options);

    /// @brief Applies the instance list of this service.
    /// @param fresh false for the first list after a start, whose members
    /// are not new and need no slow start.
    void apply(std::span<const instance> list, bool fresh, time_point now);

    /// @brief Chooses an upstream by two random choices on utilisation.
    /// @param random uniform 64-bit number.
    /// @param exclude ids already tried for this call.
    std::optional<std::string> pick(std::uint64_t random,
                                    std::span<const std::string> exclude,
                                    time_point now);

    /// @brief True when an upstream not yet tried reports room.
    [[nodiscard]] bool has_spare_capacity(std::span<const std::string> tried,
                                          time_point now) const;

    /// @brief Counts a call as in flight at an upstream.
    void on_start(std::string_view id, time_point now);

    void on_finish(std::string_view id, attempt_result result, time_point now);

    void on_load(std::string_view id, upstream_load load, time_point now);

    /// @brief True when an upstream has sent anything since a time.
    [[nodiscard]] bool has_reported_since(std::string_view id, time_point when);

    /// @brief The upstream said itself that it is leaving.
    void on_leaving(std::string_view id);

    /// @brief A new incarnation of an upstream was seen.
    void on_restart(std::string_view id, time_point now);

    /// @brief Forgets loads and ejections, as after a pause.
    void reset_observations();

    [[nodiscard]] std::size_t size() const { return members_.size(); }
    [[nodiscard]] std::size_t ejected(time_point now) const;

    /// @brief Ids in the subset that this node uses, own domain first.
    [[nodiscard]] std::vector<std::string> subset() const;

private:
    struct member
    {
        instance info;
        bool said_leaving{false};
        bool in_subset{false};
        bool trial{false}; ///< A half-open trial call is in flight.
        std::uint32_t in_flight{0};
        upstream_load load;
        time_point load_at{};
        time_point joined{};
        unsigned failures{0};
        unsigned ejections{0};
        time_point ejected_until{};
    };

    member* find(std::string_view id);
    void choose_subset();
    [[nodiscard]] double utilisation(const member& m, time_point now) const;
    [[nodiscard]] bool available(const member& m, time_point now) const;
    [[nodiscard]] bool may_eject(time_point now) const;
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
