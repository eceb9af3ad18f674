#ifndef JUJUBESPAN_HTTP_CLIENT_HPP
#define JUJUBESPAN_HTTP_CLIENT_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/http/codec.hpp"
#include "jujubespan/policy/memory_account.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace jujubespan::http
{

class client_connection;

/// @brief Outcome of an exchange.
enum class exchange_result
{
    answered,
    unreachable, ///< No connection; no byte of the request was sent.
    failed       ///< Sent, but no complete response arrived.
};

/// @brief Outcome of a probe.
enum class probe_result
{
    accepted,
    refused, ///< No process listens at the address.
    unknown  ///< Not connected in time, or failed for another reason.
};

/// @brief Limits and connection handling of a client.
struct client_options
{
    message_limits limits{};
    /// Limit of the memory of all exchanges together: requests that are not
    /// sent, and responses received and not yet handed over.
    std::size_t max_buffered_bytes{std::numeric_limits<std::size_t>::max()};
    /// The account of the process, of which this memory is a part; null: none.
    std::shared_ptr<memory_account> memory{};
    std::size_t max_idle_connections{1};
    std::size_t max_connections{0}; ///< Zero: no limit.
    /// Longest idle time after which a connection is reused. A shorter time
    /// announced by the server in `Keep-Alive` takes precedence.
    duration idle_timeout{std::chrono::seconds(1)};
    /// The same for requests that are not idempotent. They cannot be retried
    /// when the server has dropped the idle connection in the meantime.
    duration non_idempotent_idle_timeout{std::chrono::milliseconds(250)};
    /// Time to open a connection before the server counts as unreachable.
    duration connect_timeout{std::chrono::seconds(1)};
    /// Request header that the server echoes. A response with another value
    /// belongs to an earlier request and is skipped. Empty: not checked.
    std::string echo_header{};
    /// Accepts response bodies that are delimited by an orderly close of the
    /// connection.
    bool close_delimited{false};
    /// Closes a connection whose peer acknowledges no data and no keepalive
    /// probe for this long. Zero: the system's default.
    duration dead_peer_timeout{};
};

/// @brief Receives the results of a client's exchanges.
class response_handler
{
public:
    virtual ~response_handler() = default;

    virtual void on_exchange_end(std::uint64_t exchange, exchange_result result,
                                 http_response response) = 0;

    virtual void on_probe_end(probe_result /*result*/) {}
};

/// @brief HTTP/1.1 client of one server, on the Qt event loop of its thread.
///
/// A connection carries one exchange at a time. The connection that has been
/// idle for the shortest time is reused first. The client never resends a
/// request.
class client
{
public:
    /// @param handler must outlive the client.
    client(const config::endpoint& address, const client_options& options,
           response_handler& handler);
    client(const config::endpoint& address, message_limits limits,
           std::size_t max_idle_connections, response_handler& handler);
    ~client();

    /// @brief Sends a request.
    /// @param exchange ID that no other open exchange of this client has.
    void start(std::uint64_t exchange, const http_request& request);

    /// @brief Closes the connection of an exchange without reporting a result.
    void cancel(std::uint64_t exchange);

    /// @brief Opens a connection to learn whether the server's process runs.
    /// The connection is kept for later exchanges. Does nothing while another
    /// probe is in progress.
    void probe();

    /// @brief Sets what frees memory before an exchange fails for lack of it.
    void set_reclaimer(memory_reclaimer& reclaimer)
    {
        memory_.set_reclaimer(&reclaimer);
    }

    /// @brief Sets the maximum number of open connections.
    void set_max_connections(std::size_t max_connections)
    {
        options_.max_connections = max_connections;
    }

    [[nodiscard]] std::size_t idle_connection_count() const
    {
        return idle_connections_.size();
    }

    /// @brief Memory of the exchanges in progress, in bytes.
    [[nodiscard]] std::size_t buffered_bytes() const { return memory_.used(); }

    /// @brief Connections opened or attempted since construction.
    [[nodiscard]] std::uint64_t connect_attempts() const
    {
        return connect_attempts_;
    }

private:
    friend class client_connection;

    /// @brief Fails the exchanges that hold most memory until the limit is
    /// kept.
    /// @return false when a given connection was among them.
    bool limit_buffered_bytes(const client_connection& connection);
    void finish_exchange(client_connection* connection, exchange_result result,
                         http_response response, bool reusable);
    std::unique_ptr<client_connection> take_idle_connection(bool idempotent,
                                                            time_point now);
    void finish_probe(probe_result result);
    void remove_idle_connection(client_connection* connection);
    void remove_expired_connections(time_point now);

    config::endpoint address_;
    client_options options_;
    response_handler& handler_;
    std::uint64_t connect_attempts_{0};
    memory_account memory_;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<client_connection>>
        active_connections_;
    std::vector<std::unique_ptr<client_connection>>
        idle_connections_;                     // longest idle first
    std::unique_ptr<client_connection> probe_; // null: none in progress
};

} // namespace jujubespan::http

#endif
