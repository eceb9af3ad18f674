#ifndef JUJUBESPAN_PEER_INCOMING_CONNECTIONS_HPP
#define JUJUBESPAN_PEER_INCOMING_CONNECTIONS_HPP

#include <cstddef>
#include <deque>
#include <optional>

namespace jujubespan::peer
{

/// @brief Limits the connections that others open to a node.
///
/// Another node sends a message as soon as its connection is established.
/// Connections without one are the first to be closed at the limit.
class incoming_connections
{
public:
    /// @brief Sets the limit from the number of other nodes.
    void set_peer_count(std::size_t count);

    /// @param descriptor of the accepted connection.
    /// @return descriptor of the connection to close; nothing within the limit.
    std::optional<int> on_accepted(int descriptor);

    void on_closed(int descriptor);

    /// @brief A message of another node was received on a connection.
    void on_identified(int descriptor);

    /// @brief False if no connection waits to be identified.
    [[nodiscard]] bool has_unidentified() const
    {
        return !unidentified_.empty();
    }

    [[nodiscard]] std::size_t count() const { return count_; }

private:
    std::size_t limit_{4096}; // until the number of nodes is known
    std::size_t count_{0};
    std::deque<int> unidentified_; // longest open first
};

} // namespace jujubespan::peer

#endif
