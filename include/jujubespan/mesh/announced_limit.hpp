#ifndef JUJUBESPAN_MESH_ANNOUNCED_LIMIT_HPP
#define JUJUBESPAN_MESH_ANNOUNCED_LIMIT_HPP

#include "jujubespan/mesh/server_announcement.hpp"
#include "jujubespan/policy/time.hpp"

#include <optional>

namespace jujubespan::mesh
{

/// @brief The rate limit that a guard's backend server announces.
///
/// A guard that has just started has seen no response. Until it has, it takes
/// the limit from the calls of nodes that know it.
class announced_limit
{
public:
    /// @brief Records a response of the backend server.
    void on_response(const server_announcement& announcement, time_point now);

    /// @brief Records the limit that the sender of a call has last heard of.
    void on_report(double rate_limit, time_point now);

    /// @brief Requests per second; nothing without a limit.
    [[nodiscard]] std::optional<double> rate() const { return rate_; }

private:
    std::optional<double> rate_;
    time_point announced_at_{};
    bool response_seen_{false};
};

} // namespace jujubespan::mesh

#endif
