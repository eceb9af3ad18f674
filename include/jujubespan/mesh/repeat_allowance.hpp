#ifndef JUJUBESPAN_MESH_REPEAT_ALLOWANCE_HPP
#define JUJUBESPAN_MESH_REPEAT_ALLOWANCE_HPP

#include "jujubespan/mesh/route_costs.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstddef>
#include <deque>
#include <span>
#include <string>
#include <string_view>

namespace jujubespan::mesh
{

/// @brief Terms of the retry budget that the whole fleet shares.
struct repeat_terms
{
    double ratio{0.2}; ///< Repeats allowed for each client request.
    double slack{10};  ///< Repeats of the whole fleet in a window beside.
    duration window{std::chrono::seconds(10)};
};

/// @brief This node's part of the fleet's retry budget.
///
/// A node spends the ratio of the client requests that it took itself and an
/// equal part of the slack. The parts of all nodes add up to less than the
/// budget while no node counts fewer nodes than there are.
class repeat_allowance
{
public:
    /// @param fresh_fleet the whole fleet starts now. Otherwise an earlier
    /// process may have spent this node's part, and its slack is withheld for
    /// one window.
    repeat_allowance(repeat_terms terms, bool fresh_fleet, time_point now);

    void apply(const repeat_terms& terms) { terms_ = terms; }

    /// @brief Sets the number of nodes that share the slack.
    void on_fleet_size(std::size_t nodes, time_point now);

    /// @brief Counts a request that a client sent for a service.
    void on_client_request(std::string_view service, time_point now);

    /// @brief Pays for one repeat at every service that it reaches, or for
    /// none of them.
    /// @return false when one of the services has no room.
    bool spend(std::span<const service_cost> costs, time_point now);

    /// @brief Counts arrivals caused by a repeat beyond what was paid.
    void charge(std::string_view service, double arrivals, time_point now);

    /// @brief What may still be spent at a service.
    [[nodiscard]] double left(std::string_view service, time_point now);

private:
    struct event
    {
        time_point at;
        double amount{0};
    };

    struct account
    {
        std::deque<event> requests; // one for each short interval
        std::deque<event> spent;
        double requests_sum{0};
        double spent_sum{0};
    };

    static void add(std::deque<event>& events, double& sum, double amount,
                    time_point now);
    static void expire(std::deque<event>& events, double& sum,
                       time_point before);

    repeat_terms terms_;
    bool fresh_fleet_;
    time_point started_;
    std::size_t nodes_{0};
    time_point nodes_at_{};
    string_map<account> accounts_;
};

} // namespace jujubespan::mesh

#endif
