#ifndef JUJUBESPAN_PEER_COUNTED_MESSAGE_HPP
#define JUJUBESPAN_PEER_COUNTED_MESSAGE_HPP

#include "jujubespan/policy/memory_account.hpp"

#include <memory>
#include <zmq.hpp>

namespace jujubespan::peer
{

namespace v1
{
class Envelope;
} // namespace v1

/// @brief Serializes a message for ZeroMQ. Its bytes count in the account until
/// ZeroMQ has sent or dropped it: a socket does not tell how many bytes wait in
/// its queues.
/// @param memory null: the bytes are not counted.
zmq::message_t serialize_counted(const v1::Envelope& message,
                                 const std::shared_ptr<memory_account>& memory);

} // namespace jujubespan::peer

#endif
