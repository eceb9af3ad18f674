#ifndef JUJUBESPAN_HTTP_SERVER_HPP
#define JUJUBESPAN_HTTP_SERVER_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/http/codec.hpp"
#include "jujubespan/policy/memory_account.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <QTcpServer>
#include <QTimer>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubespan::http
{

class server_connection;

/// @brief Receives the complete requests of a server.
class request_handler
{
public:
    virtual ~request_handler() = default;

    virtual void on_request(std::uint64_t exchange, http_request request) = 0;

    /// @brief The connection was closed before the response was sent.
    virtual void on_client_disconnected(std::uint64_t exchange) = 0;
};

/// @brief HTTP/1.1 server on the Qt event loop of its thread.
///
/// Handles one request per connection at a time, so that responses are sent in
/// the order of their requests. Limits apply to the number of connections, the
/// sizes of headers and bodies, the memory of all unanswered requests and
/// unsent responses, and the time to receive a request.
///
/// When the memory is used up, closes the connection whose client has kept the
/// server waiting for longest. At the limit of connections, closes the one that
/// has been idle for longest.
class server final : public memory_reclaimer
{
public:
    /// @param handler must outlive the server.
    /// @param memory the account of the process, of which the server's memory
    /// is a part; null: none.
    server(const config::resource_limits& limits, request_handler& handler,
           std::shared_ptr<memory_account> memory = nullptr);
    ~server() override;

    /// @return an unavailable status that names the address if it cannot be
    /// bound.
    absl::Status listen(const config::endpoint& address);

    /// @brief Sends the response of an exchange. No effect if its connection is
    /// closed.
    void respond(std::uint64_t exchange, const http_response& response);

    /// @brief Replaces the limits. Requests that are being received keep the
    /// previous size limits.
    void set_limits(const config::resource_limits& limits) { limits_ = limits; }

    /// @brief Closes each connection after its next response. Idle connections
    /// stay open until then.
    void announce_close() { close_after_response_ = true; }

    /// @brief Closes idle connections now and the others after their current
    /// exchange.
    void begin_drain();

    /// @brief Closes the connection whose client has kept the server waiting
    /// for longest, of those that hold memory. Requests that were passed on to
    /// the handler are not affected.
    bool reclaim() override { return close_longest_waiting(nullptr); }

    /// @brief Bytes of all unanswered requests and unsent responses.
    [[nodiscard]] std::size_t buffered_bytes() const { return memory_.used(); }
    /// @brief True while a part of a response waits for its client to read.
    [[nodiscard]] bool has_unsent_responses() const;

    [[nodiscard]] std::size_t connection_count() const
    {
        return connections_.size();
    }

private:
    friend class server_connection;

    void accept_connections();
    void close_expired_connections();
    [[nodiscard]] std::vector<server_connection*> all_connections() const;
    void remove_connection(server_connection* connection);
    /// @param except a connection that is kept; null: none.
    /// @return false if there was no connection to close.
    bool close_longest_waiting(const server_connection* except);
    /// @brief Logs a connection that is about to be closed, at most one per
    /// second.
    void log_slow_client(const server_connection& connection, time_point now);
    /// @return false if a request is in progress on every connection.
    bool close_longest_idle();
    /// @brief The connection with the earliest of the times that `since`
    /// returns; null if it returns none.
    /// @param except a connection that is left out; null: none.
    [[nodiscard]] server_connection*
    find_earliest(const server_connection* except,
                  std::optional<time_point> (server_connection::*since)()
                      const) const;

    config::resource_limits limits_;
    request_handler& handler_;
    std::string address_text_; // for the log
    QTcpServer listener_;
    QTimer expiry_timer_;
    bool close_after_response_{false};
    memory_account memory_;
    time_point next_slow_client_log_{};
    std::size_t closed_since_log_{0}; // connections of slow clients
    std::uint64_t next_exchange_{1};
    absl::flat_hash_map<server_connection*, std::unique_ptr<server_connection>>
        connections_;
    absl::flat_hash_map<std::uint64_t, server_connection*> exchanges_;
};

} // namespace jujubespan::http

#endif
