#include "jujubespan/http/socket_buffers.hpp"

#include <QTcpSocket>

namespace jujubespan::http
{

qsizetype append_received(QTcpSocket& socket, QByteArray& buffer)
{
    // A read of exactly what a block holds takes the block out of the socket.
    const QByteArray bytes = socket.read(socket.bytesAvailable());
    // Copied: the block is larger than most messages.
    buffer.append(bytes.constData(), bytes.size());
    return bytes.size();
}

void send_at_once(QTcpSocket& socket, const QByteArray& bytes)
{
    // A block that is shared when its last byte is sent is released instead of
    // being kept for the next write.
    const QByteArray shared = bytes;
    socket.write(shared);
    socket.flush();
}

} // namespace jujubespan::http
