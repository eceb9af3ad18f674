#include "jujubespan/policy/retry_budget.hpp"

#include <algorithm>

namespace jujubespan
{

std::uint32_t retry_budget::allocate_credits()
{
    const std::uint32_t part = (credits_ + 1) / 2;
    credits_ -= part;
    return part;
}

void retry_budget::return_credits(std::uint32_t unspent,
                                  std::uint32_t allocated)
{
    credits_ += std::min(unspent, allocated);
}

bool retry_budget::try_spend()
{
    if (credits_ == 0)
    {
        return false;
    }
    --credits_;
    return true;
}

retry_ratio::retry_ratio(double ratio, double burst)
    : ratio_(ratio), burst_(burst), tokens_(burst)
{
}

void retry_ratio::on_first_attempt()
{
    tokens_ = std::min(burst_, tokens_ + ratio_);
}

bool retry_ratio::allow_retry()
{
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

duration jittered_retry_after(duration base, double random)
{
    return base + from_seconds(seconds(base) * random);
}

} // namespace jujubespan
