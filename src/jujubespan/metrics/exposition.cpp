#include "jujubespan/metrics/exposition.hpp"

#include <fmt/format.h>

namespace jujubespan::metrics
{

void exposition::begin_family(std::string_view name, std::string_view type,
                              std::string_view help)
{
    text_ +=
        fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void exposition::add_sample(std::string_view name, std::string_view labels,
                            double value)
{
    text_ += labels.empty() ? fmt::format("{} {}\n", name, value)
                            : fmt::format("{}{{{}}} {}\n", name, labels, value);
}

void exposition::add_histogram(std::string_view name, std::string_view labels,
                               const latency_histogram& histogram)
{
    const std::string separator = labels.empty() ? "" : ",";
    const auto bucket_name = fmt::format("{}_bucket", name);
    for (std::size_t i = 0; i < bucket_bounds_seconds.size(); ++i)
    {
        add_sample(bucket_name,
                   fmt::format("{}{}le=\"{}\"", labels, separator,
                               bucket_bounds_seconds[i]),
                   static_cast<double>(histogram.cumulative_count(i)));
    }
    add_sample(bucket_name, fmt::format("{}{}le=\"+Inf\"", labels, separator),
               static_cast<double>(histogram.count()));
    add_sample(fmt::format("{}_sum", name), labels, histogram.sum_seconds());
    add_sample(fmt::format("{}_count", name), labels,
               static_cast<double>(histogram.count()));
}

std::string format_label(std::string_view name, std::string_view value)
{
    std::string escaped;
    for (const char c : value)
    {
        if (c == '\\' || c == '"')
        {
            escaped += '\\';
        }
        escaped += c == '\n' ? ' ' : c;
    }
    return fmt::format("{}=\"{}\"", name, escaped);
}

} // namespace jujubespan::metrics
