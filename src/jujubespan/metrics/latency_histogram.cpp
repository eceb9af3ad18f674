#include "jujubespan/metrics/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan::metrics
{

namespace acc = boost::accumulators;

void latency_histogram::add(duration value)
{
    const double amount = seconds(value);
    summary_(amount);
    const auto bound =
        std::lower_bound(bucket_bounds.begin(), bucket_bounds.end(), amount);
    if (bound != bucket_bounds.end())
    {
        buckets_[static_cast<std::size_t>(bound - bucket_bounds.begin())](
            amount);
    }
}

std::uint64_t latency_histogram::count() const
{
    return acc::count(summary_);
}

double latency_histogram::sum() const
{
    return acc::sum(summary_);
}

double latency_histogram::max() const
{
    return count() == 0 ? 0 : acc::max(summary_);
}

std::uint64_t latency_histogram::cumulative(std::size_t bucket) const
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i <= bucket; ++i)
    {
        total += acc::count(buckets_[i]);
    }
    return total;
}

double latency_histogram::quantile(double q) const
{
    const auto rank =
        static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count())));
    for (std::size_t i = 0; i < bucket_bounds.size(); ++i)
    {
        if (cumulative(i) >= rank)
        {
            return std::min(bucket_bounds[i], max());
        }
    }
    return max();
}

} // namespace jujubespan::metrics
