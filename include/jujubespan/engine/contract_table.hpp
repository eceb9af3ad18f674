#ifndef JUJUBESPAN_ENGINE_CONTRACT_TABLE_HPP
#define JUJUBESPAN_ENGINE_CONTRACT_TABLE_HPP

#include "jujubespan/config/contract.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace jujubespan::engine
{

/// @brief The contracts of one revision; immutable.
class contract_table
{
public:
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::size_t size() const { return contracts_.size(); }

    /// @brief Returns the contract of a customer, or null.
    [[nodiscard]] std::shared_ptr<const config::contract>
    find(std::string_view customer) const;

    [[nodiscard]] const auto& contracts() const { return contracts_; }

    /// @brief Returns a new table with a delta applied; parses only the changed
    /// contracts.
    /// @return an invalid-argument status when any contract is invalid; the
    /// whole revision must then be rejected.
    [[nodiscard]] absl::StatusOr<std::shared_ptr<const contract_table>>
    with_delta(const versioned_delta& delta) const;

private:
    std::uint64_t revision_{0};
    string_map<std::shared_ptr<const config::contract>> contracts_;
};

} // namespace jujubespan::engine

#endif
