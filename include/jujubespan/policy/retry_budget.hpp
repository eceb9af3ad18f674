#ifndef JUJUBESPAN_POLICY_RETRY_BUDGET_HPP
#define JUJUBESPAN_POLICY_RETRY_BUDGET_HPP

#include "jujubespan/policy/time.hpp"

#include <cstdint>

namespace jujubespan
{

/// @brief Retry credits that one call of a chain of calls holds.
///
/// The root call starts with the credits of the contract. A call to another
/// service receives part of the caller's credits, and its reply returns those
/// that were not spent. Credits are lost with a lost reply. The attempts in the
/// whole chain therefore never exceed its calls plus the root's credits.
class retry_budget
{
public:
    explicit retry_budget(std::uint32_t credits) : credits_(credits) {}

    /// @brief Takes credits for an outbound call: half of those held, rounded
    /// up, so that retries happen close to a failure.
    std::uint32_t allocate_credits();

    /// @brief Takes back the unspent credits of an outbound call.
    /// @param allocated credits that the call received; upper bound of
    /// `unspent`.
    void return_credits(std::uint32_t unspent, std::uint32_t allocated);

    /// @brief Spends a credit on a retry; returns false when none is left.
    bool try_spend();

    [[nodiscard]] std::uint32_t credits() const { return credits_; }

private:
    std::uint32_t credits_;
};

/// @brief Limits the retries of callers to a ratio of their first attempts.
class retry_ratio
{
public:
    /// @param ratio retries allowed per first attempt.
    /// @param burst maximum number of retries in a burst.
    retry_ratio(double ratio, double burst);

    void on_first_attempt();

    /// @brief Counts a retry and returns true if it is within the ratio.
    bool allow_retry();

private:
    double ratio_;
    double burst_;
    double tokens_;
};

/// @brief Time after which a refused caller may retry, from `base` to twice
/// `base`; spreads the retries of many callers over time.
/// @param base shortest time.
/// @param random uniform number in [0, 1).
duration jittered_retry_after(duration base, double random);

} // namespace jujubespan

#endif
