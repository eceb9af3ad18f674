#include "jujubespan/mesh/organisation_table.hpp"

#include "jujubespan/policy/stable_hash.hpp"

#include <fmt/format.h>

namespace jujubespan::mesh
{

namespace
{

constexpr unsigned digest_shift_bits = 32;

const organisation*
find_in(const absl::flat_hash_map<std::string_view, const organisation*>& index,
        std::string_view text)
{
    const auto found = index.find(text);
    return found == index.end() ? nullptr : found->second;
}

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
        by_name_.try_emplace(item.name, &item);
        for (const auto& key : item.keys)
        {
            by_key_.try_emplace(key, &item);
        }
    }
}

const organisation* organisation_table::find_by_key(std::string_view key) const
{
    // A missing header reads as an empty key, which nobody may hold.
    return key.empty() ? nullptr : find_in(by_key_, key);
}

const organisation*
organisation_table::find_by_name(std::string_view name) const
{
    return find_in(by_name_, name);
}

std::string key_digest(std::string_view key)
{
    return fmt::format("{:08x}", stable_hash(key) >> digest_shift_bits);
}

} // namespace jujubespan::mesh
