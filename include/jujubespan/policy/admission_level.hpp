#ifndef JUJUBESPAN_POLICY_ADMISSION_LEVEL_HPP
#define JUJUBESPAN_POLICY_ADMISSION_LEVEL_HPP

#include "jujubespan/policy/request_class.hpp"
#include "jujubespan/policy/time.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace jujubespan
{

/// @brief Position of a request in the order of refusal: by class, then by a
/// position within the class. Requests with higher keys are refused first.
using shed_key = std::uint32_t;

/// @brief Requests with a shed key below this level are admitted.
using admission_level = std::uint32_t;

/// @brief Number of positions within a class.
inline constexpr shed_key keys_per_class = 1024;

/// @brief Level that admits every request.
inline constexpr admission_level admit_all_level =
    keys_per_class * request_class_count;

/// @brief Computes the key of a request.
///
/// The position within the class depends on the request id alone, so that
/// every node of the chain refuses the same requests. It is scaled by the
/// customer's use of its contract: the requests of a customer at half of its
/// rate only have positions in the first half and are refused last.
/// @param contract_use offered rate over contract rate; clamped to [0.25, 1],
/// so that enough positions remain to divide the load.
shed_key make_shed_key(request_class cls, std::string_view request_id,
                       double contract_use);

/// @brief Class of a key.
request_class class_of(shed_key key);

/// @brief Load of a node during one control interval.
struct load_sample
{
    std::uint32_t completed{0}; ///< Calls finished in the interval.
    std::uint32_t dropped{0};   ///< Calls dropped or evicted from the queue.
    double capacity{0};         ///< Calls that the slots can complete in it.
    double utilisation{0};      ///< Mean share of slots in use.
    duration oldest_wait{};     ///< Age of the oldest queued call.
};

/// @brief Chooses the admission level of one node from the calls offered to it.
///
/// The level is chosen so that the rate of offered calls with keys below it
/// equals a target. The target is the capacity, slightly more while calls
/// hardly wait and less the longer they wait, multiplied by a correction that
/// grows while slots are idle and shrinks while calls wait.
///
/// Calls that other nodes already refuse because of the level are not offered
/// any more. Their last known rate decays over several seconds, faster while
/// slots are idle, so that a low level rises step by step.
class shed_controller
{
public:
    /// @brief Counts a call that was offered, whether admitted or not.
    void on_offered(shed_key key);

    /// @brief Ends a control interval.
    /// @return the level that applies until the next update.
    admission_level update(const load_sample& sample);

    [[nodiscard]] admission_level level() const { return level_; }

    /// @brief Discards all measurements, for example after a pause.
    void reset();

private:
    void update_estimates(const load_sample& sample);
    void update_correction();
    [[nodiscard]] double target_calls() const;
    [[nodiscard]] admission_level level_for(std::span<const double> density,
                                            double max_calls) const;

    // By key: calls in this interval, smoothed calls per interval, and the same
    // with more smoothing and a slow decay for refused keys.
    std::array<double, admit_all_level> offered_{};
    std::array<double, admit_all_level> recent_{};
    std::array<double, admit_all_level> density_{};
    double capacity_{0};
    double utilisation_{0};
    double wait_seconds_{0}; // Smoothed.
    double correction_{1};
    admission_level level_{admit_all_level};
};

} // namespace jujubespan

#endif
