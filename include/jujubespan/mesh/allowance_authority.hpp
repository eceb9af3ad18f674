#ifndef JUJUBESPAN_MESH_ALLOWANCE_AUTHORITY_HPP
#define JUJUBESPAN_MESH_ALLOWANCE_AUTHORITY_HPP

#include "jujubespan/mesh/allowance_members.hpp"
#include "jujubespan/mesh/allowance_messages.hpp"
#include "jujubespan/mesh/configuration.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Bound on the requests admitted in any window:
/// (rate x window + burst) x (1 + tolerance) + slack.
struct allowance_bound
{
    duration window{std::chrono::seconds(5)};
    double tolerance{0.25};
    double slack{20}; ///< Requests.
};

/// @brief Grants the tokens of organisations with an allowance to the nodes
/// that ask for them.
///
/// Each node contributes its equal share of the rate to the authority that it
/// asks, for the time between two of its requests. A node asks one authority
/// at a time, so that several authorities together never exceed the rate. Not
/// thread safe.
class allowance_authority
{
public:
    explicit allowance_authority(const allowance_bound& bound) : bound_(bound)
    {
    }

    /// @brief A changed limit caps the tokens of an organisation at once; an
    /// organisation that is removed loses them.
    void apply(const configuration& next);
    void apply(const instance_directory& list, time_point now)
    {
        members_.apply(list, now);
        listed_nodes_ = members_.count(now);
    }

    /// @param peer address of the node that asks.
    /// @return empty when no organisation is known to have an allowance, so
    /// that the node asks another authority. Organisations that this node does
    /// not know are left out.
    std::optional<allowance_grant> on_request(std::string_view peer,
                                              const allowance_request& request,
                                              time_point now);

    /// @brief Tokens granted since the start.
    [[nodiscard]] std::uint64_t tokens_granted() const { return granted_; }

private:
    struct bucket
    {
        mesh::allowance allowance;
        double tokens{0};
        double outstanding{0}; // Upper bound of the tokens held by nodes.
        // Values of `contributed_` and `joined_` up to which it was filled.
        double contributed{0};
        double joined{0};
    };

    struct peer_state
    {
        time_point last_request{};
        std::uint64_t last_sequence{0};
        // Tokens that the node may hold, by organisation.
        std::vector<std::pair<std::uint64_t, double>> outstanding;
    };

    void record_contribution(std::string_view peer, std::uint64_t sequence,
                             time_point now);
    void sweep(time_point now);
    void forget_outstanding(peer_state& peer);
    allowance_share grant(bucket& item, const allowance_demand& demand);
    void fill(bucket& item) const;
    [[nodiscard]] double reserve(const allowance& limit) const;
    [[nodiscard]] double fill_factor() const;

    allowance_bound bound_;
    allowance_members members_;
    absl::flat_hash_map<std::uint64_t, bucket> buckets_; // by organisation
    string_map<peer_state> peers_;
    std::size_t listed_nodes_{0};
    std::size_t active_peers_{0}; // Asked within the last 1.2 s.
    double fraction_{0};          // Of the nodes, those that ask this one.
    double contributed_{0};       // Seconds of the whole fleet's rate.
    double joined_{0};            // Fractions of the fleet that began to ask.
    time_point next_sweep_{};
    std::uint64_t granted_{0};
};

} // namespace jujubespan::mesh

#endif
