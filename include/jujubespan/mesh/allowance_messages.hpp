#ifndef JUJUBESPAN_MESH_ALLOWANCE_MESSAGES_HPP
#define JUJUBESPAN_MESH_ALLOWANCE_MESSAGES_HPP

#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Position of the part of a request's sequence that increases when its
/// sender changes the authority.
inline constexpr unsigned allowance_change_shift = 32;

/// @brief What one node needs of an organisation's allowance.
struct allowance_demand
{
    std::uint64_t organisation{0}; ///< `organisation_hash` of the name.
    double wanted{0};              ///< Tokens; a token admits one request.
    double held{0};                ///< Tokens that the sender still holds.
    double offered_rate{0};        ///< Requests per second of its clients.
};

/// @brief Asks the node that grants allowances for tokens.
struct allowance_request
{
    /// Increases strictly within one incarnation of the sender; its upper half
    /// with each change of the authority. Zero: a probe, which is answered but
    /// transfers no share of the rate.
    std::uint64_t sequence{0};
    std::vector<allowance_demand> demands;
};

/// @brief The tokens granted for one demand.
struct allowance_share
{
    std::uint64_t organisation{0}; ///< `organisation_hash` of the name.
    double tokens{0};
    /// Time until the next token; zero when all that was wanted is granted.
    duration next_token{};
};

/// @brief Answers an `allowance_request`.
struct allowance_grant
{
    std::uint64_t sequence{0}; ///< Of the request.
    std::vector<allowance_share> shares;
};

/// @brief Identifies an organisation in messages; the same in all nodes.
std::uint64_t organisation_hash(std::string_view name);

} // namespace jujubespan::mesh

#endif
