#ifndef JUJUBESPAN_POLICY_CONCURRENCY_LIMIT_HPP
#define JUJUBESPAN_POLICY_CONCURRENCY_LIMIT_HPP

#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <memory>

namespace jujubespan
{

/// @brief How many calls may run on the backend server at once.
class concurrency_limit
{
public:
    virtual ~concurrency_limit() = default;

    /// @brief The limit in force, at least one.
    [[nodiscard]] virtual std::uint32_t limit(time_point now) const = 0;

    /// @brief A call began; `running` includes it.
    virtual void on_start(std::uint32_t running, time_point now) = 0;

    /// @brief A call ended.
    /// @param self_time time the backend server itself spent on the call,
    /// without its waits for other services.
    virtual void on_finish(duration self_time, time_point now) = 0;

    /// @brief The backend server refused a call as overloaded.
    virtual void on_refused(time_point now) = 0;

    /// @brief Forgets the measurements in progress, as after a pause.
    virtual void reset(time_point now) = 0;
};

/// @brief A limit that never changes.
std::unique_ptr<concurrency_limit> make_fixed_limit(std::uint32_t slots);

/// @brief Starts from the published slots and follows measured throughput.
///
/// Steps up while a saturated backend server completes more for it, and down
/// while it completes no less; the published number only sets the start and
/// the bounds (an eighth to four times). A cold backend server ramps up.
/// @param cold_start time from the first call to the full limit.
std::unique_ptr<concurrency_limit>
make_adaptive_limit(std::uint32_t published_slots, duration cold_start);

} // namespace jujubespan

#endif
