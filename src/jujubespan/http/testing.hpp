#ifndef JUJUBESPAN_HTTP_TESTING_HPP
#define JUJUBESPAN_HTTP_TESTING_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/policy/event_loop_testing.hpp"

#include <QTcpServer>

#include <cstdint>
#include <set>
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

/// @brief Returns a loopback endpoint on which nothing listens, and which no
/// earlier call in this process has returned: the kernel gives a port out again
/// once it is closed, and tests draw several endpoints before they use them.
inline config::endpoint free_endpoint()
{
    app();
    static std::set<std::uint16_t> drawn_ports;
    const auto address = process_loopback_address();
    while (true)
    {
        QTcpServer probe;
        probe.listen(QHostAddress(QString::fromStdString(address)));
        if (drawn_ports.insert(probe.serverPort()).second)
        {
            return {address, probe.serverPort()};
        }
    }
}

} // namespace jujubespan::testing

#endif
