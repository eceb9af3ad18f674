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

/// @brief Upper bounds of the buckets, in seconds; the last bucket has none.
inline constexpr std::array<double, 15> bucket_bounds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1,     2,     5,    10,   30};

/// @brief Distribution of latencies.
class latency_histogram
{
public:
    void add(duration value);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const; ///< Seconds.
    [[nodiscard]] double max() const; ///< Seconds; zero when empty.

    /// @brief Values at or below a bound of `bucket_bounds`.
    [[nodiscard]] std::uint64_t cumulative(std::size_t bucket) const;

    /// @brief Upper bound of the bucket that holds a quantile, in seconds.
    /// @param q within [0, 1].
    [[nodiscard]] double quantile(double q) const;

private:
    using counter = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count>>;
    using summary = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count,
                                           boost::accumulators::tag::sum,
                                           boost::accumulators::tag::max>>;

    summary summary_;
    std::array<counter, bucket_bounds.size()> buckets_;
};

} // namespace jujubespan::metrics

#endif
