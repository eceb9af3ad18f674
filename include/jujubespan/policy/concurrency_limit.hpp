#ifndef JUJUBESPAN_POLICY_CONCURRENCY_LIMIT_HPP
#define JUJUBESPAN_POLICY_CONCURRENCY_LIMIT_HPP

#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <memory>

namespace jujubespan
{

/// @brief Limits how many calls run on the backend server at once.
class concurrency_limit
{
public:
    virtual ~concurrency_limit() = default;

    /// @brief The current limit, at least one.
    [[nodiscard]] virtual std::uint32_t limit(time_point now) const = 0;

    /// @brief Records the start of a call.
    /// @param running calls in progress, including this one.
    virtual void on_start(std::uint32_t running, time_point now) = 0;

    /// @brief Records the end of a call.
    /// @param self_time time the backend server itself spent on the call,
    /// excluding its waits for other services.
    virtual void on_finish(duration self_time, time_point now) = 0;

    /// @brief Records that the backend server refused a call as overloaded.
    virtual void on_backend_refusal(time_point now) = 0;

    /// @brief Discards the measurements in progress, for example after a pause.
    virtual void reset(time_point now) = 0;
};

/// @brief A limit that never changes.
std::unique_ptr<concurrency_limit> make_fixed_limit(std::uint32_t slots);

/// @brief A limit that starts at the published number of slots and follows the
/// throughput of the backend server.
///
/// While the backend server is saturated, the limit is raised if this raises
/// throughput, and lowered if this does not reduce throughput. The published
/// number only sets the initial limit and the bounds, which are an eighth and
/// four times that number. During a cold start the limit rises gradually.
/// @param cold_start time from the first call until the full limit applies.
std::unique_ptr<concurrency_limit>
make_adaptive_limit(std::uint32_t published_slots, duration cold_start);

} // namespace jujubespan

#endif
