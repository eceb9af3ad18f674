#ifndef JUJUBESPAN_HTTP_SERVER_HPP
#define JUJUBESPAN_HTTP_SERVER_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/http/codec.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <QTcpServer>
#include <QTimer>

#include <cstdint>
#include <memory>
#include <vector>

namespace jujubespan::http
{

class server_connection;

/// @brief Receives the whole requests of a server.
class request_handler
{
public:
    virtual ~request_handler() = default;

    virtual void on_request(std::uint64_t exchange, http_request request) = 0;

    /// @brief The sender is gone before its response.
    virtual void on_gone(std::uint64_t exchange) = 0;
};

/// @brief HTTP/1.1 server on the event loop of its thread.
///
/// One request of a connection is handled at a time, so that responses leave
/// in the order of their requests. Connections, headers, bodies, the bytes of
/// all unanswered requests, and the time to receive one are bounded.
class server
{
public:
    /// @param handler outlives the server.
    server(const config::bounds& limits, request_handler& handler);
    ~server();

    /// @return an unavailable status that names the address when it is taken.
    absl::Status listen(const config::endpoint& address);

    /// @brief Sends the response of an exchange; no effect when it is gone.
    void respond(std::uint64_t exchange, const http_response& response);

    /// @brief Replaces the bounds; requests in progress keep theirs.
    void set_bounds(const config::bounds& limits) { limits_ = limits; }

    /// @brief Closes each connection after its next response.
    void announce_close() { draining_ = true; }

    /// @brief Closes each connection after its present exchange.
    void begin_drain();

    [[nodiscard]] std::size_t connection_count() const
    {
        return connections_.size();
    }

private:
    friend class server_connection;

    void accept();
    void sweep();
    [[nodiscard]] std::vector<server_connection*> all() const;
    void remove(server_connection* connection);

    config::bounds limits_;
    request_handler& handler_;
    QTcpServer listener_;
    QTimer sweep_timer_;
    bool draining_{false};
    std::size_t buffered_{0}; // bytes of requests without an answer
    std::uint64_t next_exchange_{1};
    absl::flat_hash_map<server_connection*, std::unique_ptr<server_connection>>
        connections_;
    absl::flat_hash_map<std::uint64_t, server_connection*> exchanges_;
};

} // namespace jujubespan::http

#endif
