#ifndef JUJUBESPAN_MESH_RUNNING_CALLS_HPP
#define JUJUBESPAN_MESH_RUNNING_CALLS_HPP

#include "jujubespan/mesh/route_costs.hpp"
#include "jujubespan/policy/admission_level.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/btree_set.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubespan::mesh
{

/// @brief A request that the local backend server runs.
struct running_call
{
    shed_key key{0};
    time_point deadline{};
    std::vector<service_cost> costs; ///< Costs of its calls so far.
    bool is_retry{false};            ///< An earlier attempt may also have run.
    std::string organisation;        ///< Sender of the request, if known.
    /// The guard no longer waits for its response.
    bool abandoned{false};
};

/// @brief The requests that the local backend server runs, by request id.
///
/// The id of a call made by a running request is usually the id of that
/// request with a suffix after a dot. A call without a known parent is treated
/// as a client request; therefore the relation is used for ordering and
/// accounting. It decides whether a call may run in one case only: where
/// requests need keys, a call without a key needs a known parent, unless its
/// route is anonymous.
class running_calls
{
public:
    void add(std::string_view request_id, running_call call);

    /// @return costs of the calls that the request made.
    std::vector<service_cost> remove(std::string_view request_id);

    /// @brief Like `remove`, for a request without a response: the backend
    /// server may go on with it, so its calls are recognized until its
    /// deadline.
    std::vector<service_cost> abandon(std::string_view request_id);

    /// @brief Removes abandoned requests whose deadline has passed.
    void expire(time_point now);

    /// @return whether an id has the form of those of calls.
    [[nodiscard]] static bool is_call_id(std::string_view request_id)
    {
        return request_id.find('.') != std::string_view::npos;
    }

    /// @brief Finds the running request that made a call; null when not known.
    [[nodiscard]] running_call* find_parent(std::string_view request_id);

private:
    string_map<running_call> calls_;
    // Abandoned requests, by deadline. Some run again since.
    absl::btree_set<std::pair<time_point, std::string>> abandoned_;
};

} // namespace jujubespan::mesh

#endif
