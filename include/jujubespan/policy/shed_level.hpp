#ifndef JUJUBESPAN_POLICY_SHED_LEVEL_HPP
#define JUJUBESPAN_POLICY_SHED_LEVEL_HPP

#include "jujubespan/policy/request_class.hpp"
#include "jujubespan/policy/time.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace jujubespan
{

/// @brief Order in which requests are refused: class first, then a position
/// within the class. Higher keys are refused earlier.
using shed_key = std::uint32_t;

/// @brief Requests with `key < level` are admitted.
using admission_level = std::uint32_t;

inline constexpr shed_key keys_per_class = 1024;
inline constexpr admission_level admit_all_level =
    keys_per_class * request_class_count;

/// @brief Computes the key of a request.
///
/// The position within the class depends on the request id alone, so that
/// every node of the chain refuses the same requests. It is scaled by the
/// customer's use of its contract: a customer at a fifth of its rate only has
/// positions in the first fifth and is refused last.
/// @param use offered rate over contract rate; clamped to [0.25, 1], so that
/// positions stay fine enough to divide the load.
shed_key make_shed_key(request_class cls, std::string_view request_id,
                       double use);

/// @brief Class of a key.
request_class class_of(shed_key key);

/// @brief What one control interval of a node looked like.
struct load_sample
{
    std::uint32_t completed{0}; ///< Calls finished in the interval.
    std::uint32_t dropped{0};   ///< Calls dropped or evicted from the queue.
    double capacity{0};         ///< Calls the slots can finish in it.
    double utilisation{0};      ///< Mean share of slots in use.
    duration oldest_wait{};     ///< Age of the oldest queued call.
};

/// @brief Chooses the admission level of one node from what it was offered.
///
/// The level is where the rate of offered keys below it equals a target: the
/// capacity, a little more while the queue is short, less the longer calls
/// wait, times a correction that grows while slots are idle and shrinks while
/// calls wait. The rate of keys that are refused elsewhere is no longer seen;
/// it is remembered and forgotten over some seconds, faster while slots are
/// idle, so that a closed level opens step by step.
class shed_controller
{
public:
    /// @brief Counts a call that was offered, whether admitted or not.
    void on_offered(shed_key key);

    /// @brief Ends a control interval.
    /// @return the level in force until the next call.
    admission_level update(const load_sample& sample);

    [[nodiscard]] admission_level level() const { return level_; }

    /// @brief Forgets what was measured, as after a pause.
    void reset();

private:
    void observe(const load_sample& sample);
    void correct();
    [[nodiscard]] double target() const;
    [[nodiscard]] admission_level level_for(std::span<const double> density,
                                            double budget) const;

    std::array<double, admit_all_level> offered_{}; // in this interval
    std::array<double, admit_all_level>
        recent_{}; // calls an interval, smoothed
    std::array<double, admit_all_level> density_{}; // smoothed more, remembered
    double capacity_{0};
    double utilisation_{0};
    double wait_{0}; // seconds, smoothed
    double correction_{1};
    admission_level level_{admit_all_level};
};

} // namespace jujubespan

#endif
