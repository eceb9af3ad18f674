#ifndef JUJUBESPAN_MESH_LEAVING_INSTANCES_HPP
#define JUJUBESPAN_MESH_LEAVING_INSTANCES_HPP

#include "jujubespan/policy/string_map.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace jujubespan::mesh
{

/// @brief The instances whose backend servers announced that they stop.
///
/// An announcement holds for the lifetime of the backend server, whatever
/// discovery lists meanwhile. An incarnation of zero is unknown and stands for
/// the one that is listed next.
class leaving_instances
{
public:
    /// @brief Records an announcement.
    /// @return false when it is known already.
    bool record(std::string_view id, std::uint64_t incarnation);

    /// @brief True when this lifetime of an instance announced that it stops.
    [[nodiscard]] bool contains(std::string_view id,
                                std::uint64_t incarnation) const;

    /// @brief Incarnation of the latest announcement of an instance; zero when
    /// there is none or it is unknown.
    [[nodiscard]] std::uint64_t incarnation(std::string_view id) const;

    /// @brief Completes the announcement of an instance whose incarnation was
    /// unknown.
    void on_listed(std::string_view id, std::uint64_t incarnation);

private:
    string_map<std::uint64_t> incarnations_; // by id
    std::deque<std::string> order_;          // ids, oldest first
};

} // namespace jujubespan::mesh

#endif
