#ifndef JUJUBESPAN_POLICY_RETRY_BUDGET_HPP
#define JUJUBESPAN_POLICY_RETRY_BUDGET_HPP

#include "jujubespan/policy/time.hpp"

#include <cstdint>

namespace jujubespan
{

/// @brief Retry credits that one call of a chain holds.
///
/// The root starts with the contract's credits. A call to another service
/// takes part of them along and its reply returns what was not spent; a lost
/// reply returns nothing. Attempts in the whole chain therefore never exceed
/// its calls plus the root's credits.
class retry_budget
{
public:
    explicit retry_budget(std::uint32_t credits) : held_(credits) {}

    /// @brief Takes the part that goes along with an outbound call: half,
    /// rounded up, so that retries happen nearest to a failure.
    std::uint32_t lend();

    /// @brief Takes back unspent credits of a call.
    /// @param lent what the call took along; bounds `unspent`.
    void give_back(std::uint32_t unspent, std::uint32_t lent);

    /// @brief Pays for one retry; false when no credit is left.
    bool spend();

    [[nodiscard]] std::uint32_t credits() const { return held_; }

private:
    std::uint32_t held_;
};

/// @brief Limits the retries that callers send to a ratio of their requests.
class retry_ratio
{
public:
    /// @param ratio retries allowed per first attempt.
    /// @param burst retries allowed at once.
    retry_ratio(double ratio, double burst);

    void on_first_attempt();

    /// @brief True when one more retry is within the ratio.
    bool allow_retry();

private:
    double ratio_;
    double burst_;
    double tokens_;
};

/// @brief Spreads the time at which refused callers come back.
/// @param base time to wait at the least.
/// @param random uniform number in [0, 1).
duration jittered_retry_after(duration base, double random);

} // namespace jujubespan

#endif
