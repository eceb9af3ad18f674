#ifndef JUJUBESPAN_HTTP_TESTING_HPP
#define JUJUBESPAN_HTTP_TESTING_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/policy/event_loop_testing.hpp"

#include <QTcpServer>

#include <string>
#include <unistd.h>

namespace jujubespan::testing
{

/// @brief Loopback address of this process. Connections of other processes
/// leave from 127.0.0.1, so that none of their ports is taken here.
inline std::string own_address()
{
    const auto id = static_cast<unsigned>(::getpid());
    constexpr unsigned first = 16;
    constexpr unsigned hosts = 200;
    return "127." + std::to_string(first + id / hosts / hosts % hosts) + "." +
           std::to_string(first + id / hosts % hosts) + "." +
           std::to_string(first + id % hosts);
}

/// @brief A loopback endpoint on which nothing listens.
inline config::endpoint free_endpoint()
{
    app();
    const auto address = own_address();
    QTcpServer probe;
    probe.listen(QHostAddress(QString::fromStdString(address)));
    return {address, probe.serverPort()};
}

} // namespace jujubespan::testing

#endif
