#ifndef JUJUBESPAN_HTTP_TESTING_HPP
#define JUJUBESPAN_HTTP_TESTING_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/policy/event_loop_testing.hpp"

#include <QTcpServer>

namespace jujubespan::testing
{

/// @brief A loopback endpoint on which nothing listens.
inline config::endpoint free_endpoint()
{
    app();
    QTcpServer probe;
    probe.listen(QHostAddress::LocalHost);
    return {"127.0.0.1", probe.serverPort()};
}

} // namespace jujubespan::testing

#endif
