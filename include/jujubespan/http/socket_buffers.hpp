#ifndef JUJUBESPAN_HTTP_SOCKET_BUFFERS_HPP
#define JUJUBESPAN_HTTP_SOCKET_BUFFERS_HPP

#include <QByteArray>

class QTcpSocket;

namespace jujubespan::http
{

// QTcpSocket keeps the last block of each of its two buffers, 16 or 32 KiB, for
// as long as the connection is open. A node has thousands of connections, most
// of them idle.

/// @brief Appends all received bytes to `buffer` and leaves the socket without
/// a block for reading.
/// @return number of bytes.
qsizetype append_received(QTcpSocket& socket, QByteArray& buffer);

/// @brief Sends bytes at once instead of in the next iteration of the event
/// loop. Only what the kernel does not take goes through the socket's buffer.
///
/// Destroys the owner of the socket if it reacts to a disconnection in that
/// way: Qt reports one that it notices while it sends.
void send_at_once(QTcpSocket& socket, const QByteArray& bytes);

} // namespace jujubespan::http

#endif
