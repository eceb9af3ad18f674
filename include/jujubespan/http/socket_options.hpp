#ifndef JUJUBESPAN_HTTP_SOCKET_OPTIONS_HPP
#define JUJUBESPAN_HTTP_SOCKET_OPTIONS_HPP

#include "jujubespan/policy/time.hpp"

class QTcpSocket;

namespace jujubespan::http
{

/// @brief Sends small messages at once.
void disable_delay(QTcpSocket& socket);

/// @brief Ends a connection whose peer acknowledges nothing for a while:
/// neither what was sent nor the probes of an idle connection.
void detect_silence(QTcpSocket& socket, duration silence);

} // namespace jujubespan::http

#endif
