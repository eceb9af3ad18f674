#ifndef JUJUBESPAN_HTTP_TESTING_HPP
#define JUJUBESPAN_HTTP_TESTING_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/policy/event_loop_testing.hpp"

#include <QTcpServer>

#include <string>
#include <unistd.h>

namespace jujubespan::testing
{

/// @brief Loopback address derived from the process ID. Outgoing connections of
/// other processes use 127.0.0.1, so their ephemeral ports do not conflict with
/// ports on this address.
inline std::string process_loopback_address()
{
    const auto id = static_cast<unsigned>(::getpid());
    constexpr unsigned first_octet = 16;
    constexpr unsigned octet_values = 200;
    return "127." +
           std::to_string(first_octet +
                          id / octet_values / octet_values % octet_values) +
           "." +
           std::to_string(first_octet + id / octet_values % octet_values) +
           "." + std::to_string(first_octet + id % octet_values);
}

/// @brief Returns a loopback endpoint on which nothing listens.
inline config::endpoint free_endpoint()
{
    app();
    const auto address = process_loopback_address();
    QTcpServer probe;
    probe.listen(QHostAddress(QString::fromStdString(address)));
    return {address, probe.serverPort()};
}

} // namespace jujubespan::testing

#endif
