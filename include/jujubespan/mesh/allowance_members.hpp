#ifndef JUJUBESPAN_MESH_ALLOWANCE_MEMBERS_HPP
#define JUJUBESPAN_MESH_ALLOWANCE_MEMBERS_HPP

#include "jujubespan/mesh/instance_directory.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief The nodes among which the allowances are divided.
///
/// A node is identified by its call address, so that a restarted process takes
/// the place of the previous one.
class allowance_members
{
public:
    void apply(const instance_directory& list, time_point now);

    /// @brief Number of nodes that may be spending: those listed, and those
    /// that recently disappeared from the list without having announced it.
    [[nodiscard]] std::size_t count(time_point now) const;

    /// @brief Addresses of the nodes that may grant tokens, preferred ones
    /// first: the first-ranked instance of each failure domain, then the second
    /// of the local domain. The first entry is the fleet authority.
    [[nodiscard]] std::vector<std::string>
    authorities(std::string_view own_domain) const;

private:
    struct member
    {
        std::string failure_domain;
        std::uint64_t rank{0}; // the lowest is preferred
        bool leaving{false};
        time_point removed_at{time_point::max()};
    };

    string_map<member> members_; // by call address
};

} // namespace jujubespan::mesh

#endif
