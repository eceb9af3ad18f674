#ifndef JUJUBESPAN_HTTP_SOCKET_OPTIONS_HPP
#define JUJUBESPAN_HTTP_SOCKET_OPTIONS_HPP

#include "jujubespan/policy/time.hpp"

class QTcpSocket;

namespace jujubespan::http
{

/// @brief Disables Nagle's algorithm, so that small messages are sent
/// immediately.
void disable_nagle(QTcpSocket& socket);

/// @brief Closes a connection whose peer acknowledges neither sent data nor, on
/// an idle connection, keepalive probes within the timeout.
void enable_dead_peer_detection(QTcpSocket& socket, duration timeout);

/// @brief Limits how long sent data may remain unacknowledged or, since the
/// peer does not read, unsent.
/// @param timeout zero: the default of the kernel.
void limit_unacknowledged_time(QTcpSocket& socket, duration timeout);

} // namespace jujubespan::http

#endif
