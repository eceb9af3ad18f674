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

constexpr int keepalive_probes = 2;

void set_option(int descriptor, int level, int name, int value)
{
    if (setsockopt(descriptor, level, name, &value, sizeof value) != 0)
    {
        log(log_level::warn, "socket_option_failed", "option={} why=\"{}\"",
            name, std::strerror(errno));
    }
}

} // namespace

void disable_nagle(QTcpSocket& socket)
{
    socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

void enable_dead_peer_detection(QTcpSocket& socket, duration timeout)
{
    const int descriptor = static_cast<int>(socket.socketDescriptor());
    const int interval_s = std::max(
        1,
        static_cast<int>(
            std::chrono::duration_cast<std::chrono::seconds>(timeout).count()) /
            keepalive_probes);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, interval_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, interval_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    limit_unacknowledged_time(socket, timeout);
}

void limit_unacknowledged_time(QTcpSocket& socket, duration timeout)
{
    set_option(static_cast<int>(socket.socketDescriptor()), IPPROTO_TCP,
               TCP_USER_TIMEOUT, static_cast<int>(milliseconds(timeout)));
}

} // namespace jujubespan::http
