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

/// @brief Size limits of one message.
struct message_limits
{
    std::size_t header_bytes{16 << 10};
    std::size_t body_bytes{1 << 20};
};

/// @brief Progress of parsing a message.
enum class parse_state
{
    incomplete,
    complete,
    header_too_large,
    body_too_large,
    malformed
};

/// @brief Incremental parser of one request.
class request_parser
{
public:
    explicit request_parser(message_limits limits);
    request_parser(request_parser&& other) noexcept;
    request_parser& operator=(request_parser&& other) noexcept;
    ~request_parser();

    /// @brief Parses from the front of `buffer` and removes the parsed bytes.
    parse_state parse(QByteArray& buffer);

    /// @brief Moves the request out. Call once, after `parse` has returned
    /// `complete`.
    http_request take_message();

    /// @brief Memory of the parsed header fields in addition to their bytes.
    /// Grows while the header is received.
    [[nodiscard]] std::size_t field_memory() const;
    [[nodiscard]] bool keep_alive() const;
    /// @brief True once a byte of the request has been received.
    [[nodiscard]] bool has_started() const;
    [[nodiscard]] bool expects_continue() const;
    [[nodiscard]] std::string error_message() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// @brief Incremental parser of one response. A truncated response is an
/// error.
class response_parser
{
public:
    /// @param head_request the request was HEAD, so the response has no body.
    /// @param close_delimited accepts a body that is delimited by the close of
    /// the connection.
    response_parser(message_limits limits, bool head_request,
                    bool close_delimited = false);
    ~response_parser();

    /// @brief Parses from the front of `buffer` and removes the parsed bytes.
    ///
    /// Interim (1xx) responses are skipped. A close-delimited response is
    /// malformed unless accepted, since it cannot be known to be complete.
    parse_state parse(QByteArray& buffer);

    /// @brief True if only the close of the connection marks the end of the
    /// response.
    [[nodiscard]] bool is_close_delimited() const;

    /// @brief Tells the parser that the peer has closed the connection in an
    /// orderly way.
    parse_state on_close();

    /// @brief Moves the response out. Call once, after `parse` or `on_close`
    /// has returned `complete`.
    http_response take_message();

    /// @brief Memory of the parsed header fields in addition to their bytes.
    /// Grows while the header is received.
    [[nodiscard]] std::size_t field_memory() const;
    [[nodiscard]] bool keep_alive() const;
    [[nodiscard]] std::string error_message() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// @brief Serializes a request for an HTTP/1.1 server.
QByteArray serialize(const http_request& request);

/// @brief Serializes a response.
/// @param head_request omits the body but keeps its Content-Length.
QByteArray serialize(const http_response& response, bool keep_alive,
                     bool head_request);

} // namespace jujubespan::http

#endif
