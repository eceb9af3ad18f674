#ifndef JUJUBESPAN_MESH_CONFIGURATION_AGE_HPP
#define JUJUBESPAN_MESH_CONFIGURATION_AGE_HPP

#include "jujubespan/policy/time.hpp"

#include <optional>

namespace jujubespan::mesh
{

/// @brief For how long the configuration in force has not been shown to be the
/// latest one of its source.
class configuration_age
{
public:
    /// @brief The configuration in force contains everything that the source
    /// acknowledged before `as_of`. A time before an earlier one has no effect.
    void on_confirmed(time_point as_of);

    /// @return empty before the first confirmation.
    [[nodiscard]] std::optional<duration> age(time_point now) const;

private:
    std::optional<time_point> as_of_;
};

} // namespace jujubespan::mesh

#endif
