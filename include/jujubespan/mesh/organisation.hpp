#ifndef JUJUBESPAN_MESH_ORGANISATION_HPP
#define JUJUBESPAN_MESH_ORGANISATION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Requests that all nodes together admit for an organisation.
struct allowance
{
    double rate{0};  ///< Requests per second; zero: no limit.
    double burst{0}; ///< Requests beyond the rate at a time.

    [[nodiscard]] bool limited() const { return rate > 0; }

    bool operator==(const allowance&) const = default;
};

/// @brief A customer of the platform, whose clients authenticate with keys.
struct organisation
{
    std::string name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route.
    std::optional<std::uint32_t> priority;
    mesh::allowance allowance;

    bool operator==(const organisation&) const = default;
};

} // namespace jujubespan::mesh

#endif
