#include "jujubespan/mesh/configuration_age.hpp"

#include <algorithm>

namespace jujubespan::mesh
{

void configuration_age::on_confirmed(time_point as_of)
{
    as_of_ = std::max(as_of_.value_or(as_of), as_of);
}

std::optional<duration> configuration_age::age(time_point now) const
{
    if (!as_of_)
    {
        return std::nullopt;
    }
    return std::max(now - *as_of_, duration::zero());
}

} // namespace jujubespan::mesh
