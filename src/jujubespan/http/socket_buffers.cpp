#include "jujubespan/http/socket_buffers.hpp"

#include <QTcpSocket>

#include <algorithm>
#include <sys/socket.h>

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
    qsizetype sent = 0;
    if (socket.bytesToWrite() == 0)
    {
        const auto result =
            ::send(static_cast<int>(socket.socketDescriptor()),
                   bytes.constData(), static_cast<std::size_t>(bytes.size()),
                   MSG_DONTWAIT | MSG_NOSIGNAL);
        sent = std::max<qsizetype>(0, result);
    }
    if (sent < bytes.size())
    {
        socket.write(bytes.mid(sent)); // Also reports an error of `send`.
        socket.flush();
    }
}

} // namespace jujubespan::http
