#ifndef JUJUBESPAN_PEER_INBOUND_CALLS_HPP
#define JUJUBESPAN_PEER_INBOUND_CALLS_HPP

#include "jujubespan/peer/messenger.hpp"
#include "jujubespan/policy/string_map.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubespan::peer
{

/// @brief A call from a peer that has not been answered yet.
struct inbound_call
{
    routing_id reply_to;
    std::string peer;
    std::uint64_t call_id{0};
};

/// @brief Tracks the unanswered calls from peers and rejects duplicates.
class inbound_calls
{
public:
    /// @brief Opens an exchange for a received call.
    /// @param incarnation of the sender. Within one incarnation, call IDs
    /// increase strictly.
    /// @return the exchange ID; empty if the call is a duplicate.
    std::optional<std::uint64_t> open_exchange(std::string_view peer,
                                               std::uint64_t incarnation,
                                               std::uint64_t call_id,
                                               const routing_id& reply_to);

    /// @brief Closes an exchange whose call is being answered.
    /// @return the call; empty if the exchange is not open.
    std::optional<inbound_call> close_exchange(std::uint64_t exchange);

    /// @brief Closes the exchange of a call that its sender has cancelled.
    /// @return the exchange ID; empty if the call is not open.
    std::optional<std::uint64_t> cancel_exchange(std::string_view peer,
                                                 std::uint64_t call_id);

    [[nodiscard]] bool is_open(std::uint64_t exchange) const
    {
        return exchanges_.contains(exchange);
    }

    /// @brief Routing IDs of all peers that have sent calls, by peer.
    [[nodiscard]] string_map<routing_id> sender_routing_ids() const;

    [[nodiscard]] std::uint64_t duplicate_calls() const
    {
        return duplicate_calls_;
    }

private:
    struct sender_state
    {
        std::uint64_t incarnation{0};
        std::uint64_t last_call_id{0};
        routing_id reply_to;
    };

    std::uint64_t next_exchange_{1};
    absl::flat_hash_map<std::uint64_t, inbound_call> exchanges_;
    string_map<absl::flat_hash_map<std::uint64_t, std::uint64_t>>
        exchanges_by_call_;
    string_map<sender_state> senders_;
    std::uint64_t duplicate_calls_{0};
};

} // namespace jujubespan::peer

#endif
