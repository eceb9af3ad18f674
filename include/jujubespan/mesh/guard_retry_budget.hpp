#ifndef JUJUBESPAN_MESH_GUARD_RETRY_BUDGET_HPP
#define JUJUBESPAN_MESH_GUARD_RETRY_BUDGET_HPP

#include "jujubespan/policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace jujubespan::mesh
{

/// @brief Terms of the retry budget of a service.
struct retry_budget_options
{
    double ratio{0.2}; ///< Repeats allowed for each client request.
    double slack{10};  ///< Repeats of the whole service in a window beside.
    duration window{std::chrono::seconds(10)};
};

/// @brief Why a request arrives once more.
enum class retry_cause : std::uint8_t
{
    none,
    attempt, ///< An earlier attempt arrived at a backend server.
    caller   ///< It is called by a run that is itself a repeat.
};

/// @brief The part of its service's retry budget that one guard spends.
///
/// A guard allows the ratio of the client requests that arrived at it and an
/// equal part of the slack. The parts of all guards of a service add up to
/// less than the budget while no guard counts fewer guards than there are.
class guard_retry_budget
{
public:
    /// @param fresh_fleet the whole fleet starts now. Otherwise an earlier
    /// process may have spent this guard's part, and its slack is withheld for
    /// one window.
    guard_retry_budget(retry_budget_options options, bool fleet_starting,
                       time_point now);

    void apply(const retry_budget_options& options) { options_ = options; }

    /// @brief Sets the number of guards that share the slack.
    void set_guard_count(std::size_t guard_count, time_point now);

    /// @brief Counts the first arrival of a request that a client sent.
    void record_client_request(time_point now);

    /// @brief Pays for one arrival. Calls of repeated runs leave a part to
    /// repeats of single calls, which achieve more for the same price.
    /// @return false when there is no room.
    bool try_spend(retry_cause cause, time_point now);

    /// @brief What may still be spent.
    [[nodiscard]] double remaining(time_point now);

private:
    struct event
    {
        time_point at;
        double amount{0};
    };

    struct sliding_sum
    {
        std::deque<event> events; // one for each short interval
        double sum{0};

        void add(time_point now);
        void expire(time_point before);
    };

    [[nodiscard]] double budget(time_point now);

    retry_budget_options options_;
    bool fleet_starting_;
    time_point started_at_;
    std::size_t guard_count_{0};
    time_point guard_count_at_{};
    sliding_sum requests_;
    sliding_sum spent_;
};

} // namespace jujubespan::mesh

#endif
