#include "jujubespan/http/socket_options.hpp"

#include "jujubespan/metrics/log.hpp"

#include <QTcpSocket>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jujubespan::http
{

namespace
{

constexpr int probes = 2;

void set(int descriptor, int level, int name, int value)
{
    if (setsockopt(descriptor, level, name, &value, sizeof value) != 0)
    {
        log(log_level::warn, "socket_option_failed", "option={} why=\"{}\"",
            name, std::strerror(errno));
    }
}

} // namespace

void disable_delay(QTcpSocket& socket)
{
    socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

void detect_silence(QTcpSocket& socket, duration silence)
{
    const int descriptor = static_cast<int>(socket.socketDescriptor());
    const int interval = std::max(
        1,
        static_cast<int>(
            std::chrono::duration_cast<std::chrono::seconds>(silence).count()) /
            probes);
    set(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    set(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    set(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes);
    set(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
        static_cast<int>(milliseconds(silence)));
}

} // namespace jujubespan::http
