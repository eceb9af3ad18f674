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

bool is_own_header(std::string_view name)
{
    return name.size() >= headers::prefix.size() &&
           same_header_name(name.substr(0, headers::prefix.size()),
                            headers::prefix);
}

bool removed(const http_header& header)
{
    return is_connection_header(header.name) || is_own_header(header.name);
}

void add(http_response& response, std::string_view name, std::string value)
{
    response.headers.push_back({std::string(name), std::move(value)});
}

unsigned rejected_status(reason why)
{
    switch (why)
    {
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

std::string whole_seconds(duration value)
{
    const auto up = std::chrono::ceil<std::chrono::seconds>(value).count();
    return fmt::format("{}", std::max<long long>(up, 1));
}

} // namespace

unsigned http_status_of(outcome result, reason why)
{
    switch (result)
    {
    case outcome::rejected:
        return rejected_status(why);
    case outcome::unknown:
        return why == reason::deadline || why == reason::timeout ? 504 : 502;
    case outcome::not_run:
        if (why == reason::customer_limit || why == reason::caller_retries)
        {
            return 429;
        }
        return 503;
    case outcome::answered:
        break;
    }
    return 200;
}

http_response to_http(const answer& value, std::string_view request_id)
{
    http_response response;
    if (value.result == outcome::answered)
    {
        response = value.response;
    }
    else
    {
        response.status = http_status_of(value.result, value.reason);
        add(response, "Content-Type", "application/json");
        response.body =
            fmt::format("{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n",
                        to_string(value.result), to_string(value.reason));
        add(response, headers::reason, std::string(to_string(value.reason)));
    }
    add(response, headers::outcome, std::string(to_string(value.result)));
    if (!request_id.empty() &&
        find_header(response.headers, headers::request_id).empty())
    {
        add(response, headers::request_id, std::string(request_id));
    }
    if (value.retry_after > duration::zero())
    {
        add(response, headers::retry_after, whole_seconds(value.retry_after));
        add(response, headers::retry_after_ms,
            fmt::format("{}", milliseconds(value.retry_after)));
    }
    if (!value.next_ticket.empty())
    {
        add(response, headers::ticket, value.next_ticket);
    }
    return response;
}

http_request to_backend_request(http_request request)
{
    std::erase_if(request.headers, removed);
    return request;
}

void strip_response_headers(http_response& response)
{
    std::erase_if(response.headers, removed);
}

} // namespace jujubespan::engine
