#ifndef JUJUBESPAN_METRICS_LATENCY_HISTOGRAM_HPP
#define JUJUBESPAN_METRICS_LATENCY_HISTOGRAM_HPP

#include "jujubespan/policy/time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>

namespace jujubespan::metrics
{

/// @brief Inclusive upper bounds of the histogram buckets. Values above the
/// last bound are counted in the totals only.
inline constexpr std::array<double, 15> bucket_bounds_seconds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1,     2,     5,    10,   30};

/// @brief Latency histogram with fixed buckets.
class latency_histogram
{
public:
    void add(duration latency);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum_seconds() const;
    [[nodiscard]] double max_seconds() const; ///< Zero if empty.

    /// @brief Number of values at or below `bucket_bounds_seconds[bucket]`.
    [[nodiscard]] std::uint64_t cumulative_count(std::size_t bucket) const;

    /// @brief Upper bound of a quantile: the bound of the bucket that holds it,
    /// but at most the maximum.
    /// @param q within [0, 1].
    [[nodiscard]] double quantile_seconds(double q) const;

private:
    using counter = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count>>;
    using summary = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count,
                                           boost::accumulators::tag::sum,
                                           boost::accumulators::tag::max>>;

    summary summary_;
    std::array<counter, bucket_bounds_seconds.size()> buckets_;
};

} // namespace jujubespan::metrics

#endif
