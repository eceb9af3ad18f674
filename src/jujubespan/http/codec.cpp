#include "jujubespan/http/codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace jujubespan::http
{

namespace
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

template <bool is_request>
using parser = bhttp::parser<is_request, bhttp::string_body>;

constexpr unsigned http_1_1 = 11;
constexpr unsigned first_final_status = 200;

parse_state state_of(const beast::error_code& error)
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

// Feeds the buffer to the parser and removes what it used.
template <bool is_request>
parse_state feed(parser<is_request>& target, QByteArray& buffer,
                 std::string& message)
{
    qsizetype used = 0;
    beast::error_code error;
    while (!target.is_done() && used < buffer.size())
    {
        const boost::asio::const_buffer rest(
            buffer.constData() + used,
            static_cast<std::size_t>(buffer.size() - used));
        const auto consumed = target.put(rest, error);
        used += static_cast<qsizetype>(consumed);
        if (error == bhttp::error::need_more || (!error && consumed == 0))
        {
            break;
        }
        if (error)
        {
            message = error.message();
            return state_of(error);
        }
    }
    buffer.remove(0, used);
    return target.is_done() ? parse_state::complete : parse_state::incomplete;
}

template <bool is_request>
std::vector<http_header> headers_of(const bhttp::fields& fields)
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
QByteArray to_bytes(bhttp::message<is_request, bhttp::string_body>& message,
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

bool never_has_body(unsigned status)
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status < first_final_status || status == no_content ||
           status == not_modified;
}

} // namespace

struct request_parser::state
{
    parser<true> target;
    bool started{false};
    std::string error;
};

request_parser::request_parser(message_limits limits)
    : state_(std::make_unique<state>())
{
    state_->target.eager(true);
    state_->target.header_limit(
        static_cast<std::uint32_t>(limits.header_bytes));
    state_->target.body_limit(limits.body_bytes);
}

request_parser::request_parser(request_parser&& other) noexcept = default;

request_parser&
request_parser::operator=(request_parser&& other) noexcept = default;

request_parser::~request_parser() = default;

parse_state request_parser::parse(QByteArray& buffer)
{
    state_->started = state_->started || !buffer.isEmpty();
    return feed(state_->target, buffer, state_->error);
}

http_request request_parser::take()
{
    auto message = state_->target.release();
    http_request request;
    request.verb = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = headers_of<true>(message);
    request.body = std::move(message.body());
    return request;
}

bool request_parser::keep_alive() const
{
    return state_->target.keep_alive();
}

bool request_parser::started() const
{
    return state_->started;
}

bool request_parser::expects_continue() const
{
    return state_->target.is_header_done() && !state_->target.is_done() &&
           beast::iequals(state_->target.get()[bhttp::field::expect],
                          "100-continue");
}

std::string request_parser::error() const
{
    return state_->error;
}

struct response_parser::state
{
    state(message_limits bounds, bool head, bool until_close)
        : limits(bounds), to_head(head), close_delimited(until_close)
    {
    }

    message_limits limits;
    bool to_head;
    bool close_delimited;
    std::optional<parser<false>> target;
    std::string error;

    void begin()
    {
        target.emplace();
        target->eager(true);
        target->skip(to_head);
        target->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        target->body_limit(limits.body_bytes);
    }
};

response_parser::response_parser(message_limits limits, bool to_head,
                                 bool close_delimited)
    : state_(std::make_unique<state>(limits, to_head, close_delimited))
{
    state_->begin();
}

response_parser::~response_parser() = default;

parse_state response_parser::parse(QByteArray& buffer)
{
    while (true)
    {
        const auto result = feed(*state_->target, buffer, state_->error);
        const auto& target = *state_->target;
        if (result == parse_state::complete &&
            target.get().result_int() < first_final_status)
        {
            state_->begin();
            continue;
        }
        if (needs_close() && (result == parse_state::complete ||
                              result == parse_state::incomplete))
        {
            if (state_->close_delimited)
            {
                return parse_state::incomplete;
            }
            state_->error = "response without Content-Length or chunks";
            return parse_state::malformed;
        }
        return result;
    }
}

bool response_parser::needs_close() const
{
    const auto& target = *state_->target;
    return !state_->to_head && target.is_header_done() && target.need_eof();
}

parse_state response_parser::on_close()
{
    beast::error_code error;
    state_->target->put_eof(error);
    if (error)
    {
        state_->error = error.message();
        return parse_state::malformed;
    }
    return state_->target->is_done() ? parse_state::complete
                                     : parse_state::malformed;
}

http_response response_parser::take()
{
    auto message = state_->target->release();
    http_response response;
    response.status = message.result_int();
    response.headers = headers_of<false>(message);
    response.body = std::move(message.body());
    return response;
}

bool response_parser::keep_alive() const
{
    return state_->target->keep_alive();
}

std::string response_parser::error() const
{
    return state_->error;
}

QByteArray serialize(const http_request& request)
{
    bhttp::request<bhttp::string_body> message;
    message.version(http_1_1);
    message.method_string(request.verb);
    message.target(request.target);
    set_headers(message, request.headers);
    message.body() = request.body;
    message.prepare_payload();
    return to_bytes(message, false);
}

QByteArray serialize(const http_response& response, bool keep_alive,
                     bool to_head)
{
    bhttp::response<bhttp::string_body> message;
    message.version(http_1_1);
    message.result(response.status);
    set_headers(message, response.headers);
    message.keep_alive(keep_alive);
    if (never_has_body(response.status))
    {
        return to_bytes(message, true);
    }
    message.body() = response.body;
    message.content_length(response.body.size());
    return to_bytes(message, to_head);
}

} // namespace jujubespan::http
