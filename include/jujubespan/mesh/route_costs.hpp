#ifndef JUJUBESPAN_MESH_ROUTE_COSTS_HPP
#define JUJUBESPAN_MESH_ROUTE_COSTS_HPP

#include "jujubespan/policy/string_map.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief What one run of a request costs a service.
struct service_cost
{
    std::string service;
    double arrivals{1};     ///< Requests that reach its backend servers.
    double slot_seconds{0}; ///< Seconds that they hold slots there.

    bool operator==(const service_cost&) const = default;
};

/// @brief Adds a cost to a list with one entry a service.
void add_cost(std::vector<service_cost>& list, const service_cost& cost);

/// @brief Mean cost of the requests of each route, all services behind its
/// first one included.
class route_costs
{
public:
    /// @brief Learns from one answered request.
    void record(std::string_view route, std::span<const service_cost> observed);

    /// @brief Costs of a route; empty before its first answer.
    [[nodiscard]] std::span<const service_cost>
    mean_costs(std::string_view route) const;

private:
    string_map<std::vector<service_cost>> costs_;
};

} // namespace jujubespan::mesh

#endif
