#ifndef JUJUBESPAN_MESH_ROUTE_COSTS_HPP
#define JUJUBESPAN_MESH_ROUTE_COSTS_HPP

#include "jujubespan/policy/string_map.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Cost of one request at a service.
struct service_cost
{
    std::string service;
    double arrivals{1};     ///< Calls that reach its backend servers.
    double slot_seconds{0}; ///< Time that they occupy slots there.

    bool operator==(const service_cost&) const = default;
};

/// @brief Adds a cost to a list with one entry per service.
void add_cost(std::vector<service_cost>& list, const service_cost& cost);

/// @brief Mean costs of the requests of each route at all services that they
/// call, directly or indirectly.
class route_costs
{
public:
    /// @brief Records the costs of one answered request.
    void record(std::string_view route, std::span<const service_cost> observed);

    /// @brief Mean costs of a route; empty before its first answer.
    [[nodiscard]] std::span<const service_cost>
    mean_costs(std::string_view route) const;

private:
    string_map<std::vector<service_cost>> costs_;
};

} // namespace jujubespan::mesh

#endif
