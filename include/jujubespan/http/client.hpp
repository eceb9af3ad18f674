#ifndef JUJUBESPAN_HTTP_CLIENT_HPP
#define JUJUBESPAN_HTTP_CLIENT_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/http/codec.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jujubespan::http
{

class client_connection;

/// @brief How an exchange of a client ended.
enum class exchange_result
{
    answered,
    unreachable, ///< No connection; no byte of the request was sent.
    failed       ///< Sent, but no whole response came.
};

/// @brief How a client treats its connections.
struct client_options
{
    message_limits limits{};
    std::size_t max_idle_connections{1};
    std::size_t max_connections{0}; ///< Zero: no bound.
    /// Longest time that an idle connection is used again. A server that
    /// names a shorter one is followed.
    duration idle_timeout{std::chrono::seconds(1)};
    /// The same for requests that must not be repeated: a server may have
    /// forgotten the connection.
    duration fresh_time{std::chrono::milliseconds(250)};
    /// Time to open a connection before it counts as unreachable.
    duration connect_timeout{std::chrono::seconds(1)};
    /// Header that the server echoes; a response with another value belongs
    /// to an earlier request and is skipped. Empty: not checked.
    std::string echo_header{};
    /// Accept bodies that end with an orderly close of the connection.
    bool close_delimited{false};
    /// Ends a connection whose peer acknowledges nothing for this long; zero:
    /// the system's default.
    duration dead_peer_timeout{};
};

/// @brief Receives the ends of a client's exchanges.
class response_handler
{
public:
    virtual ~response_handler() = default;

    virtual void on_end(std::uint64_t exchange, exchange_result end,
                        http_response response) = 0;
};

/// @brief HTTP/1.1 client of one server on the event loop of its thread.
///
/// A connection carries one exchange at a time; the one that was idle for the
/// shortest time is used first. No request is ever sent twice.
class client
{
public:
    /// @param handler outlives the client.
    client(const config::endpoint& address, const client_options& options,
           response_handler& handler);
    client(const config::endpoint& address, message_limits limits,
           std::size_t max_idle, response_handler& handler);
    ~client();

    /// @param exchange not in use by another exchange of this client.
    void start(std::uint64_t exchange, const http_request& request);

    /// @brief Closes the connection of an exchange; its end is not reported.
    void cancel(std::uint64_t exchange);

    /// @brief Sets the most connections that may be open at once.
    void set_max_connections(std::size_t most)
    {
        options_.max_connections = most;
    }

    [[nodiscard]] std::size_t idle() const { return idle_.size(); }

    /// @brief Connections opened since the start.
    [[nodiscard]] std::uint64_t connect_attempts() const { return connects_; }

private:
    friend class client_connection;

    void end(client_connection* connection, exchange_result result,
             http_response response, bool reusable);
    std::unique_ptr<client_connection> take_idle(bool repeatable,
                                                 time_point now);
    void drop_idle(client_connection* connection);
    void drop_expired(time_point now);

    config::endpoint address_;
    client_options options_;
    response_handler& handler_;
    std::uint64_t connects_{0};
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<client_connection>>
        active_;
    std::vector<std::unique_ptr<client_connection>> idle_; // oldest first
};

} // namespace jujubespan::http

#endif
