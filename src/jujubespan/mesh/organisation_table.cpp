#include "jujubespan/mesh/organisation_table.hpp"

#include "jujubespan/policy/stable_hash.hpp"

#include <fmt/format.h>

namespace jujubespan::mesh
{

namespace
{

constexpr unsigned digest_shift_bits = 32;

} // namespace

organisation_table::organisation_table(
    std::shared_ptr<const configuration> source)
    : source_(std::move(source))
{
    if (!source_->organisations)
    {
        return;
    }
    for (const auto& item : *source_->organisations)
    {
        for (const auto& key : item.keys)
        {
            by_key_.try_emplace(key, &item);
        }
    }
}

const organisation* organisation_table::find_by_key(std::string_view key) const
{
    // A missing header reads as an empty key, which nobody may hold.
    const auto found = key.empty() ? by_key_.end() : by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

std::string key_digest(std::string_view key)
{
    return fmt::format("{:08x}", stable_hash(key) >> digest_shift_bits);
}

} // namespace jujubespan::mesh
