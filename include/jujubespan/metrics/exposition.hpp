#ifndef JUJUBESPAN_METRICS_EXPOSITION_HPP
#define JUJUBESPAN_METRICS_EXPOSITION_HPP

#include "jujubespan/metrics/latency_histogram.hpp"

#include <string>
#include <string_view>

namespace jujubespan::metrics
{

/// @brief Writes metrics as Prometheus text.
class exposition
{
public:
    /// @brief Begins a metric family.
    /// @param type `counter`, `gauge` or `histogram`.
    void begin_family(std::string_view name, std::string_view type,
                      std::string_view help);

    /// @param labels text such as `class="normal"`; may be empty.
    void add_sample(std::string_view name, std::string_view labels,
                    double value);

    void add_histogram(std::string_view name, std::string_view labels,
                       const latency_histogram& value);

    [[nodiscard]] const std::string& text() const { return text_; }

private:
    std::string text_;
};

/// @brief `name="value"` with the value escaped.
std::string format_label(std::string_view name, std::string_view value);

} // namespace jujubespan::metrics

#endif
