#ifndef JUJUBESPAN_POLICY_START_PACER_HPP
#define JUJUBESPAN_POLICY_START_PACER_HPP

#include "jujubespan/policy/time.hpp"

#include <optional>

namespace jujubespan
{

/// @brief Spaces the starts of calls so that they keep to a rate.
///
/// Any span of length t has at most rate * (t + burst time) + 2 starts.
class start_pacer
{
public:
    /// @brief Sets the rate in starts per second; nothing: no limit.
    void set_rate(std::optional<double> rate, time_point now);

    [[nodiscard]] std::optional<double> rate() const { return rate_; }

    [[nodiscard]] bool may_start(time_point now) const;

    void on_start(time_point now);

private:
    [[nodiscard]] duration interval() const;

    std::optional<double> rate_;
    // Time of the next start if starts were evenly spaced.
    time_point next_start_{};
};

} // namespace jujubespan

#endif
