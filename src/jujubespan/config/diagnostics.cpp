#include "jujubespan/config/diagnostics.hpp"

#include <fmt/format.h>

namespace jujubespan::config
{

void diagnostics::add(std::size_t line, std::string field, std::string message)
{
    items_.push_back({line, std::move(field), std::move(message)});
}

std::string diagnostics::text() const
{
    std::string result;
    for (const auto& item : items_)
    {
        if (!result.empty())
        {
            result += '\n';
        }
        result += item.field.empty()
                      ? fmt::format("{}:{}: {}", file_, item.line, item.message)
                      : fmt::format("{}:{}: {}: {}", file_, item.line,
                                    item.field, item.message);
    }
    return result;
}

absl::Status diagnostics::status() const
{
    return ok() ? absl::OkStatus() : absl::InvalidArgumentError(text());
}

} // namespace jujubespan::config
