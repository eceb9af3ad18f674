#ifndef JUJUBESPAN_METRICS_EXPOSITION_HPP
#define JUJUBESPAN_METRICS_EXPOSITION_HPP

#include "jujubespan/metrics/latency_histogram.hpp"

#include <string>
#include <string_view>

namespace jujubespan::metrics
{

/// @brief Builds a document in the Prometheus text exposition format.
class exposition
{
public:
    /// @brief Adds the HELP and TYPE lines of a metric family, before its
    /// samples.
    /// @param type `counter`, `gauge` or `histogram`.
    void begin_family(std::string_view name, std::string_view type,
                      std::string_view help);

    /// @param labels comma-separated labels, such as `class="normal"`; may be
    /// empty.
    void add_sample(std::string_view name, std::string_view labels,
                    double value);

    /// @brief Adds the bucket, sum and count samples of a histogram.
    void add_histogram(std::string_view name, std::string_view labels,
                       const latency_histogram& histogram);

    [[nodiscard]] const std::string& text() const { return text_; }

private:
    std::string text_;
};

/// @brief Formats a label as `name="value"`. Backslashes and quotes in the
/// value are escaped, newlines become spaces.
std::string format_label(std::string_view name, std::string_view value);

} // namespace jujubespan::metrics

#endif
