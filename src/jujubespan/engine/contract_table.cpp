#include "jujubespan/engine/contract_table.hpp"

#include "jujubespan/config/status_text.hpp"

#include <fmt/format.h>

namespace jujubespan::engine
{

std::shared_ptr<const config::contract>
contract_table::find(std::string_view customer) const
{
    const auto found = contracts_.find(customer);
    return found == contracts_.end() ? nullptr : found->second;
}

absl::StatusOr<std::shared_ptr<const contract_table>>
contract_table::with_delta(const versioned_delta& delta) const
{
    auto next = std::make_shared<contract_table>();
    if (!delta.full)
    {
        next->contracts_ = contracts_;
    }
    next->revision_ = delta.revision;
    std::string errors;
    for (const auto& entry : delta.entries)
    {
        if (entry.removed)
        {
            next->contracts_.erase(entry.key);
            continue;
        }
        auto parsed = config::parse_contract(entry.value, entry.key);
        if (!parsed.ok())
        {
            errors += text_of(parsed.status()) + "\n";
            continue;
        }
        if (parsed->customer != entry.key)
        {
            errors += fmt::format("{}:1: customer: \"{}\" must equal the key "
                                  "it is published under\n",
                                  entry.key, parsed->customer);
            continue;
        }
        next->contracts_[entry.key] =
            std::make_shared<const config::contract>(*std::move(parsed));
    }
    if (!errors.empty())
    {
        return absl::InvalidArgumentError(errors);
    }
    return next;
}

} // namespace jujubespan::engine
