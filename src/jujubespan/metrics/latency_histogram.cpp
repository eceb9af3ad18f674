#include "jujubespan/metrics/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan::metrics
{

namespace acc = boost::accumulators;

void latency_histogram::add(duration latency)
{
    const double latency_seconds = seconds(latency);
    summary_(latency_seconds);
    const auto bound =
        std::lower_bound(bucket_bounds_seconds.begin(),
                         bucket_bounds_seconds.end(), latency_seconds);
    if (bound != bucket_bounds_seconds.end())
    {
        buckets_[static_cast<std::size_t>(
            bound - bucket_bounds_seconds.begin())](latency_seconds);
    }
}

std::uint64_t latency_histogram::count() const
{
    return acc::count(summary_);
}

double latency_histogram::sum_seconds() const
{
    return acc::sum(summary_);
}

double latency_histogram::max_seconds() const
{
    return count() == 0 ? 0 : acc::max(summary_);
}

std::uint64_t latency_histogram::cumulative_count(std::size_t bucket) const
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i <= bucket; ++i)
    {
        total += acc::count(buckets_[i]);
    }
    return total;
}

double latency_histogram::quantile_seconds(double q) const
{
    const auto rank =
        static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count())));
    for (std::size_t i = 0; i < bucket_bounds_seconds.size(); ++i)
    {
        if (cumulative_count(i) >= rank)
        {
            return std::min(bucket_bounds_seconds[i], max_seconds());
        }
    }
    return max_seconds();
}

} // namespace jujubespan::metrics
