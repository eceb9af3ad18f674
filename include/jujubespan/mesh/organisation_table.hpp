#ifndef JUJUBESPAN_MESH_ORGANISATION_TABLE_HPP
#define JUJUBESPAN_MESH_ORGANISATION_TABLE_HPP

#include "jujubespan/mesh/configuration.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <string_view>

namespace jujubespan::mesh
{

/// @brief Finds the organisation that holds a key.
///
/// A key that several organisations list belongs to the first of them.
class organisation_table
{
public:
    explicit organisation_table(std::shared_ptr<const configuration> source);

    /// @brief Whether requests need a key, unless their route is anonymous.
    [[nodiscard]] bool keys_required() const
    {
        return source_->organisations.has_value();
    }

    /// @return null when no organisation holds the key. Valid as long as the
    /// configuration.
    [[nodiscard]] const organisation* find_by_key(std::string_view key) const;

private:
    std::shared_ptr<const configuration> source_; // owns keys and values
    absl::flat_hash_map<std::string_view, const organisation*> by_key_;
};

/// @brief Short hash of a key, by which logs distinguish keys without showing
/// them.
std::string key_digest(std::string_view key);

} // namespace jujubespan::mesh

#endif
