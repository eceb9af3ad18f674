#ifndef JUJUBESPAN_MESH_RETRY_BUDGET_TESTING_HPP
#define JUJUBESPAN_MESH_RETRY_BUDGET_TESTING_HPP

#include "jujubespan/mesh/guard_retry_budget.hpp"

#include <algorithm>
#include <limits>
#include <span>

namespace jujubespan::mesh::testing
{

/// @brief Number of times in the window that ends at `until`.
inline double count_in_window(std::span<const time_point> times,
                              time_point until, duration window)
{
    return static_cast<double>(
        std::upper_bound(times.begin(), times.end(), until) -
        std::upper_bound(times.begin(), times.end(), until - window));
}

/// @brief Largest number of retries beyond the budget of a service, over all
/// windows; not positive if the budget is kept.
///
/// The budget of a window follows from the client requests in it, in the window
/// before it or in the one half a window earlier, whichever has most.
/// @param retries at all guards of the service, in ascending order.
/// @param requests of clients, in ascending order.
inline double largest_budget_excess(std::span<const time_point> retries,
                                    std::span<const time_point> requests,
                                    const retry_budget_options& budget)
{
    const duration window = budget.window;
    const auto excess_at = [&](time_point until)
    {
        const double most =
            std::max({count_in_window(requests, until, window),
                      count_in_window(requests, until - window / 2, window),
                      count_in_window(requests, until - window, window)});
        return count_in_window(retries, until, window) - budget.ratio * most -
               budget.slack;
    };
    double largest = -std::numeric_limits<double>::infinity();
    for (const auto at : retries)
    {
        largest = std::max(
            {largest, excess_at(at), excess_at(at + window - duration(1))});
    }
    return largest;
}

} // namespace jujubespan::mesh::testing

#endif
