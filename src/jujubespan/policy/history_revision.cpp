#include "jujubespan/policy/history_revision.hpp"

#include <fmt/format.h>

namespace jujubespan
{

std::string history_revision_text(history_revision revision)
{
    const auto era = era_of(revision);
    return era == 0 ? fmt::format("{}", revision)
                    : fmt::format("{}-{}", era, number_of(revision));
}

} // namespace jujubespan
