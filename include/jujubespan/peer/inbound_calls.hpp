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

/// @brief A call of a peer that has no answer yet.
struct inbound_call
{
    route back;
    std::string peer;
    std::uint64_t call{0};
};

/// @brief The calls that peers have sent and that have no answer yet; drops
/// those that arrive twice.
class inbound_calls
{
public:
    /// @brief Records a call.
    /// @param incarnation of the sender; its call ids only grow.
    /// @return number of the exchange; nothing when the call came before.
    std::optional<std::uint64_t> open(std::string_view peer,
                                      std::uint64_t incarnation,
                                      std::uint64_t call, const route& back);

    /// @brief Ends an exchange that is answered.
    std::optional<inbound_call> close(std::uint64_t exchange);

    /// @brief Ends the exchange of a call that its sender gave up.
    std::optional<std::uint64_t> withdraw(std::string_view peer,
                                          std::uint64_t call);

    [[nodiscard]] bool is_open(std::uint64_t exchange) const
    {
        return exchanges_.contains(exchange);
    }

    /// @brief Ways back to all that have sent calls, by peer.
    [[nodiscard]] string_map<route> senders() const;

    [[nodiscard]] std::uint64_t duplicates() const { return duplicates_; }

private:
    struct sender_state
    {
        std::uint64_t incarnation{0};
        std::uint64_t last_call{0};
        route back;
    };

    std::uint64_t next_exchange_{1};
    absl::flat_hash_map<std::uint64_t, inbound_call> exchanges_;
    string_map<absl::flat_hash_map<std::uint64_t, std::uint64_t>> by_call_;
    string_map<sender_state> senders_;
    std::uint64_t duplicates_{0};
};

} // namespace jujubespan::peer

#endif
