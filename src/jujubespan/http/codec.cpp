#include "jujubespan/http/codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <optional>
#include <stdexcept>

namespace jujubespan::http
{

namespace
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

template <bool is_request>
using parser = bhttp::parser<is_request, bhttp::string_body>;

constexpr unsigned http_1_1 = 11;
constexpr unsigned first_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned max_interim_responses = 16;
// The library holds the length of a header field in 16 bits.
constexpr std::size_t max_header_bytes = 65'535;

parse_state to_parse_state(const beast::error_code& error)
{
    if (error == bhttp::error::header_limit)
    {
        return parse_state::header_too_large;
    }
    if (error == bhttp::error::body_limit)
    {
        return parse_state::body_too_large;
    }
    return parse_state::malformed;
}

std::size_t part_limit(const message_limits& limits)
{
    return std::min(limits.header_bytes, max_header_bytes);
}

// Passes bytes to the parser, which reports a part that it cannot hold by an
// exception.
template <bool is_request>
std::size_t put_bytes(parser<is_request>& message_parser,
                      boost::asio::const_buffer bytes, beast::error_code& error)
{
    try
    {
        return message_parser.put(bytes, error);
    }
    catch (const std::length_error&)
    {
        error = bhttp::error::header_limit;
        return 0;
    }
}

// Parses from the front of the buffer and removes the parsed bytes. A part that
// the parser only takes as a whole, such as the header of a chunk or the
// trailers, is malformed beyond the limit of a header. The parser has no limit
// for all of them, so it is never given more bytes at once. Adds the parsed
// lines of the head to `head_lines`.
template <bool is_request>
parse_state parse_buffer(parser<is_request>& message_parser, QByteArray& buffer,
                         const message_limits& limits, std::size_t& head_lines,
                         std::string& error_message)
{
    const auto limit = part_limit(limits);
    qsizetype parsed_bytes = 0;
    beast::error_code error;
    while (!message_parser.is_done() && parsed_bytes < buffer.size())
    {
        const auto unparsed_bytes =
            static_cast<std::size_t>(buffer.size() - parsed_bytes);
        const boost::asio::const_buffer next(buffer.constData() + parsed_bytes,
                                             std::min(unparsed_bytes, limit));
        const bool in_head = !message_parser.is_header_done();
        const auto consumed = put_bytes(message_parser, next, error);
        if (in_head)
        {
            const auto* begin = buffer.constData() + parsed_bytes;
            head_lines += static_cast<std::size_t>(
                std::count(begin, begin + consumed, '\n'));
        }
        parsed_bytes += static_cast<qsizetype>(consumed);
        const bool needs_more = error == bhttp::error::need_more;
        const bool at_end = next.size() == unparsed_bytes;
        if ((needs_more && at_end) || (consumed == 0 && (needs_more || !error)))
        {
            break;
        }
        if (error && !needs_more)
        {
            error_message = error.message();
            return to_parse_state(error);
        }
        if (!message_parser.eager() && message_parser.is_header_done())
        {
            // The parser would reserve the announced length before it compares
            // the body with its limit.
            if (!message_parser.is_done() &&
                message_parser.content_length().value_or(0) > limits.body_bytes)
            {
                error_message = "body limit exceeded";
                return parse_state::body_too_large;
            }
            message_parser.eager(true);
        }
    }
    buffer.remove(0, parsed_bytes);
    if (message_parser.is_done())
    {
        return parse_state::complete;
    }
    if (static_cast<std::size_t>(buffer.size()) > limit)
    {
        error_message = "a part of the message is too long";
        return parse_state::malformed;
    }
    return parse_state::incomplete;
}

template <bool is_request>
void set_limits(parser<is_request>& message_parser,
                const message_limits& limits)
{
    message_parser.header_limit(static_cast<std::uint32_t>(part_limit(limits)));
    message_parser.body_limit(limits.body_bytes);
}

template <bool is_request>
std::vector<http_header> to_headers(const bhttp::fields& fields)
{
    std::vector<http_header> result;
    for (const auto& field : fields)
    {
        result.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return result;
}

template <bool is_request>
QByteArray
serialize_message(bhttp::message<is_request, bhttp::string_body>& message,
                  bool header_only)
{
    bhttp::serializer<is_request, bhttp::string_body> serializer(message);
    serializer.split(header_only);
    QByteArray bytes;
    beast::error_code error;
    while (!error && !serializer.is_done() &&
           !(header_only && serializer.is_header_done()))
    {
        serializer.next(
            error,
            [&](beast::error_code&, const auto& buffers)
            {
                std::size_t total = 0;
                for (const auto buffer : beast::buffers_range_ref(buffers))
                {
                    bytes.append(static_cast<const char*>(buffer.data()),
                                 static_cast<qsizetype>(buffer.size()));
                    total += buffer.size();
                }
                serializer.consume(total);
            });
    }
    return bytes;
}

void set_headers(bhttp::fields& fields, std::span<const http_header> headers)
{
    for (const auto& header : headers)
    {
        fields.insert(header.name, header.value);
    }
}

// Memory of the fields that the parser holds, apart from their bytes: each is
// an object in a list and an ordered set, also while the head is incomplete.
constexpr std::size_t bytes_per_field = 80;

bool has_no_body(unsigned status)
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status < first_final_status || status == no_content ||
           status == not_modified;
}

} // namespace

struct request_parser::state
{
    message_limits limits;
    parser<true> message_parser;
    bool started{false};
    std::size_t head_lines{0};
    std::string error_message;
};

request_parser::request_parser(message_limits limits)
    : state_(std::make_unique<state>())
{
    state_->limits = limits;
    set_limits(state_->message_parser, limits);
}

request_parser::request_parser(request_parser&& other) noexcept = default;

request_parser&
request_parser::operator=(request_parser&& other) noexcept = default;

request_parser::~request_parser() = default;

parse_state request_parser::parse(QByteArray& buffer)
{
    state_->started = state_->started || !buffer.isEmpty();
    return parse_buffer(state_->message_parser, buffer, state_->limits,
                        state_->head_lines, state_->error_message);
}

std::size_t request_parser::field_memory() const
{
    return bytes_per_field * state_->head_lines;
}

http_request request_parser::take_message()
{
    auto message = state_->message_parser.release();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = to_headers<true>(message);
    request.body = std::move(message.body());
    return request;
}

bool request_parser::keep_alive() const
{
    return state_->message_parser.keep_alive();
}

bool request_parser::has_started() const
{
    return state_->started;
}

bool request_parser::expects_continue() const
{
    return state_->message_parser.is_header_done() &&
           !state_->message_parser.is_done() &&
           beast::iequals(state_->message_parser.get()[bhttp::field::expect],
                          "100-continue");
}

std::string request_parser::error_message() const
{
    return state_->error_message;
}

struct response_parser::state
{
    state(message_limits size_limits, bool is_head_request,
          bool accept_close_delimited)
        : limits(size_limits), head_request(is_head_request),
          close_delimited(accept_close_delimited)
    {
    }

    message_limits limits;
    bool head_request;
    bool close_delimited;
    unsigned interim_responses{0};
    std::optional<parser<false>> message_parser;
    std::size_t head_lines{0};
    std::string error_message;

    void reset()
    {
        message_parser.emplace();
        head_lines = 0;
        message_parser->skip(head_request);
        set_limits(*message_parser, limits);
    }
};

response_parser::response_parser(message_limits limits, bool head_request,
                                 bool close_delimited)
    : state_(std::make_unique<state>(limits, head_request, close_delimited))
{
    state_->reset();
}

response_parser::~response_parser() = default;

parse_state response_parser::parse(QByteArray& buffer)
{
    while (true)
    {
        const auto result =
            parse_buffer(*state_->message_parser, buffer, state_->limits,
                         state_->head_lines, state_->error_message);
        const auto& message_parser = *state_->message_parser;
        if (message_parser.is_header_done() &&
            message_parser.get().result_int() < first_status)
        {
            state_->error_message = "status is below 100";
            return parse_state::malformed;
        }
        if (result == parse_state::complete &&
            message_parser.get().result_int() < first_final_status)
        {
            if (++state_->interim_responses > max_interim_responses)
            {
                state_->error_message = "too many interim responses";
                return parse_state::malformed;
            }
            state_->reset();
            continue;
        }
        if (is_close_delimited() && (result == parse_state::complete ||
                                     result == parse_state::incomplete))
        {
            if (state_->close_delimited)
            {
                return parse_state::incomplete;
            }
            state_->error_message =
                "response has neither Content-Length nor chunked encoding";
            return parse_state::malformed;
        }
        return result;
    }
}

std::size_t response_parser::field_memory() const
{
    return bytes_per_field * state_->head_lines;
}

bool response_parser::is_close_delimited() const
{
    const auto& message_parser = *state_->message_parser;
    return !state_->head_request && message_parser.is_header_done() &&
           message_parser.need_eof();
}

parse_state response_parser::on_close()
{
    beast::error_code error;
    state_->message_parser->put_eof(error);
    if (error)
    {
        state_->error_message = error.message();
        return parse_state::malformed;
    }
    return state_->message_parser->is_done() ? parse_state::complete
                                             : parse_state::malformed;
}

http_response response_parser::take_message()
{
    auto message = state_->message_parser->release();
    http_response response;
    response.status = message.result_int();
    response.headers = to_headers<false>(message);
    response.body = std::move(message.body());
    return response;
}

bool response_parser::keep_alive() const
{
    return state_->message_parser->keep_alive();
}

std::string response_parser::error_message() const
{
    return state_->error_message;
}

QByteArray serialize(const http_request& request)
{
    bhttp::request<bhttp::string_body> message;
    message.version(http_1_1);
    message.method_string(request.method);
    message.target(request.target);
    set_headers(message, request.headers);
    message.body() = request.body;
    // Not by `prepare_payload`, which throws on a TRACE request with a body.
    const auto method = message.method();
    if (!request.body.empty() || method == bhttp::verb::options ||
        method == bhttp::verb::put || method == bhttp::verb::post)
    {
        message.content_length(request.body.size());
    }
    return serialize_message(message, false);
}

QByteArray serialize(const http_response& response, bool keep_alive,
                     bool head_request)
{
    bhttp::response<bhttp::string_body> message;
    message.version(http_1_1);
    message.result(response.status);
    set_headers(message, response.headers);
    message.keep_alive(keep_alive);
    if (has_no_body(response.status))
    {
        return serialize_message(message, true);
    }
    message.body() = response.body;
    message.content_length(response.body.size());
    return serialize_message(message, head_request);
}

} // namespace jujubespan::http
