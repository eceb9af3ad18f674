#include "jujubespan/engine/http_mapping.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace jujubespan::engine
{

namespace
{

constexpr std::array<std::string_view, 9> connection_headers{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

bool is_connection_header(std::string_view name)
{
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [name](auto known)
                       { return same_header_name(known, name); });
}

bool is_jujubespan_header(std::string_view name)
{
    return name.size() >= headers::prefix.size() &&
           same_header_name(name.substr(0, headers::prefix.size()),
                            headers::prefix);
}

bool is_stripped_header(const http_header& header)
{
    return is_connection_header(header.name) ||
           is_jujubespan_header(header.name);
}

void add_header(http_response& response, std::string_view name,
                std::string value)
{
    response.headers.push_back({std::string(name), std::move(value)});
}

unsigned rejection_status(reason cause)
{
    switch (cause)
    {
    case reason::unknown_key:
        return 401;
    case reason::unknown_customer:
        return 403;
    case reason::unknown_method:
    case reason::no_route:
        return 404;
    case reason::internal_method:
        return 403;
    case reason::ticket_required:
    case reason::ticket_invalid:
        return 428;
    case reason::ticket_mismatch:
        return 422;
    case reason::loop:
    case reason::depth:
        return 508;
    case reason::repeatable_parent:
        return 409;
    default:
        return 400;
    }
}

std::string rounded_up_seconds(duration value)
{
    const auto rounded = std::chrono::ceil<std::chrono::seconds>(value).count();
    return fmt::format("{}", std::max<long long>(rounded, 1));
}

} // namespace

unsigned http_status_of(outcome result, reason cause)
{
    switch (result)
    {
    case outcome::rejected:
        return rejection_status(cause);
    case outcome::unknown:
        return cause == reason::deadline || cause == reason::timeout ? 504
                                                                     : 502;
    case outcome::not_run:
        if (cause == reason::customer_limit ||
            cause == reason::caller_retries || cause == reason::allowance)
        {
            return 429;
        }
        return 503;
    case outcome::answered:
        break;
    }
    return 200;
}

http_response to_http_response(const answer& answer,
                               std::string_view request_id)
{
    http_response response;
    if (answer.result == outcome::answered)
    {
        response = answer.response;
    }
    else
    {
        response.status = http_status_of(answer.result, answer.reason);
        add_header(response, "Content-Type", "application/json");
        response.body =
            fmt::format("{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n",
                        to_string(answer.result), to_string(answer.reason));
        add_header(response, headers::reason,
                   std::string(to_string(answer.reason)));
    }
    add_header(response, headers::outcome,
               std::string(to_string(answer.result)));
    if (!request_id.empty() &&
        find_header(response.headers, headers::request_id).empty())
    {
        add_header(response, headers::request_id, std::string(request_id));
    }
    if (answer.retry_after > duration::zero())
    {
        add_header(response, headers::retry_after,
                   rounded_up_seconds(answer.retry_after));
        add_header(response, headers::retry_after_ms,
                   fmt::format("{}", milliseconds(answer.retry_after)));
    }
    if (!answer.next_ticket.empty())
    {
        add_header(response, headers::ticket, answer.next_ticket);
    }
    return response;
}

http_request to_backend_request(http_request request)
{
    std::erase_if(request.headers, is_stripped_header);
    return request;
}

void strip_response_headers(http_response& response)
{
    std::erase_if(response.headers, is_stripped_header);
}

} // namespace jujubespan::engine
