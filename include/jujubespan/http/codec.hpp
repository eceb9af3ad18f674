#ifndef JUJUBESPAN_HTTP_CODEC_HPP
#define JUJUBESPAN_HTTP_CODEC_HPP

#include "jujubespan/policy/http_message.hpp"

#include <QByteArray>

#include <cstddef>
#include <memory>
#include <span>
#include <string>

namespace jujubespan::http
{

/// @brief Bounds on one message.
struct message_limits
{
    std::size_t header_bytes{16 << 10};
    std::size_t body_bytes{1 << 20};
};

/// @brief State of a message after some of its bytes.
enum class parse_state
{
    incomplete,
    complete,
    header_too_large,
    body_too_large,
    malformed
};

/// @brief Parses one request from the bytes of a connection.
class request_parser
{
public:
    explicit request_parser(message_limits limits);
    request_parser(request_parser&& other) noexcept;
    request_parser& operator=(request_parser&& other) noexcept;
    ~request_parser();

    /// @brief Parses from the front of `buffer` and removes what it used.
    parse_state parse(QByteArray& buffer);

    /// @brief The request; call once, after `complete`.
    http_request take();

    [[nodiscard]] bool keep_alive() const;
    [[nodiscard]] bool started() const;
    [[nodiscard]] bool expects_continue() const;
    [[nodiscard]] std::string error() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// @brief Parses one response; a response that is not whole is an error.
class response_parser
{
public:
    /// @param to_head the request was HEAD, so no body follows.
    /// @param close_delimited accept a body that ends with its connection.
    response_parser(message_limits limits, bool to_head,
                    bool close_delimited = false);
    ~response_parser();

    /// @brief Parses from the front of `buffer` and removes what it used.
    ///
    /// Interim responses are skipped. Unless accepted, a response whose end
    /// only the close of the connection would mark is malformed: it cannot be
    /// known to be whole.
    parse_state parse(QByteArray& buffer);

    /// @brief True when only an orderly close ends the response.
    [[nodiscard]] bool needs_close() const;

    /// @brief The connection was closed in order.
    parse_state on_close();

    /// @brief The response; call once, after `complete`.
    http_response take();

    [[nodiscard]] bool keep_alive() const;
    [[nodiscard]] std::string error() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// @brief The bytes of a request to an HTTP/1.1 server.
QByteArray serialize(const http_request& request);

/// @brief The bytes of a response.
/// @param to_head leaves the body out but keeps its length.
QByteArray serialize(const http_response& response, bool keep_alive,
                     bool to_head);

} // namespace jujubespan::http

#endif
