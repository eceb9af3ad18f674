#ifndef JUJUBESPAN_HTTP_CLIENT_HPP
#define JUJUBESPAN_HTTP_CLIENT_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/http/codec.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace jujubespan::http
{

class client_connection;

/// @brief How an exchange of a client ended.
enum class client_end
{
    answered,
    unreachable, ///< No connection; no byte of the request was sent.
    failed       ///< Sent, but no whole response came.
};

/// @brief Receives the ends of a client's exchanges.
class response_handler
{
public:
    virtual ~response_handler() = default;

    virtual void on_end(std::uint64_t exchange, client_end end,
                        http_response response) = 0;
};

/// @brief HTTP/1.1 client of one server on the event loop of its thread.
///
/// A connection carries one exchange at a time and is kept for a short while.
/// No request is ever sent twice.
class client
{
public:
    /// @param handler outlives the client.
    client(const config::endpoint& address, message_limits limits,
           std::size_t max_idle, response_handler& handler);
    ~client();

    /// @param exchange not in use by another exchange of this client.
    void start(std::uint64_t exchange, const http_request& request);

    /// @brief Closes the connection of an exchange; its end is not reported.
    void cancel(std::uint64_t exchange);

    [[nodiscard]] std::size_t idle() const { return idle_.size(); }

private:
    friend class client_connection;

    void end(client_connection* connection, client_end result,
             http_response response, bool reusable);
    std::unique_ptr<client_connection> take_idle(time_point now);
    void drop_idle(client_connection* connection);

    config::endpoint address_;
    message_limits limits_;
    std::size_t max_idle_;
    response_handler& handler_;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<client_connection>>
        active_;
    std::vector<std::unique_ptr<client_connection>> idle_;
};

} // namespace jujubespan::http

#endif
