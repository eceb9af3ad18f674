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
                               const latency_histogram& value)
{
    const std::string comma = labels.empty() ? "" : ",";
    const auto bucket = fmt::format("{}_bucket", name);
    for (std::size_t i = 0; i < bucket_bounds.size(); ++i)
    {
        add_sample(
            bucket,
            fmt::format("{}{}le=\"{}\"", labels, comma, bucket_bounds[i]),
            static_cast<double>(value.cumulative(i)));
    }
    add_sample(bucket, fmt::format("{}{}le=\"+Inf\"", labels, comma),
               static_cast<double>(value.count()));
    add_sample(fmt::format("{}_sum", name), labels, value.sum());
    add_sample(fmt::format("{}_count", name), labels,
               static_cast<double>(value.count()));
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
