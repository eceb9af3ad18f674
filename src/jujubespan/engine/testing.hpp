#ifndef JUJUBESPAN_ENGINE_TESTING_HPP
#define JUJUBESPAN_ENGINE_TESTING_HPP

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/engine/http_mapping.hpp"

#include <fmt/format.h>

#include <functional>
#include <string>
#include <vector>

namespace jujubespan::engine::testing
{

/// @brief Records the requests that an engine sends to its backend server.
class recording_backend final : public backend_port
{
public:
    explicit recording_backend(std::vector<std::string>& lines) : lines_(lines)
    {
    }

    void start(std::uint64_t call, const http_request& request) override
    {
        calls.push_back(call);
        tokens.emplace_back(find_header(request.headers, headers::token));
        lines_.push_back(fmt::format(
            "  backend <- {} {} deadline {} ms body \"{}\"", request.method,
            request.target, find_header(request.headers, headers::deadline),
            request.body));
    }

    void cancel(std::uint64_t /*call*/) override
    {
        lines_.emplace_back("  backend <- cancel");
    }

    std::vector<std::uint64_t> calls;
    std::vector<std::string> tokens;

private:
    std::vector<std::string>& lines_;
};

/// @brief Records calls to peers; calls to those in `unreachable` are not sent.
class recording_peers final : public peer_port
{
public:
    explicit recording_peers(std::vector<std::string>& lines) : lines_(lines) {}

    bool send_call(std::string_view peer, const peer_call& value,
                   time_point now) override
    {
        const bool reachable = std::find(unreachable.begin(), unreachable.end(),
                                         peer) == unreachable.end();
        lines_.push_back(fmt::format(
            "  peer {} <- {} {} {} credits {} depth {} {} ms{}", peer,
            value.service, value.request.method, value.request.target,
            value.context.credits, value.context.depth,
            milliseconds(value.context.deadline - now),
            reachable ? "" : " (not sent)"));
        if (reachable)
        {
            sent.push_back({std::string(peer), value.id});
        }
        return reachable;
    }

    void cancel(std::string_view peer, std::uint64_t /*call*/) override
    {
        lines_.push_back(fmt::format("  peer {} <- cancel", peer));
    }

    struct sent_call
    {
        std::string peer;
        std::uint64_t id;
    };
    std::vector<sent_call> sent;
    std::vector<std::string> unreachable;

private:
    std::vector<std::string>& lines_;
};

/// @brief Records answers.
class recording_replies final : public reply_port
{
public:
    recording_replies(std::string name, std::vector<std::string>& lines)
        : name_(std::move(name)), lines_(lines)
    {
    }

    void send_reply(std::uint64_t exchange, const answer& answer,
                    std::string_view request_id) override
    {
        answers.push_back(answer);
        const auto response = to_http_response(answer, request_id);
        lines_.push_back(fmt::format(
            "  {} {} <- {} {} {}{}", name_, exchange, response.status,
            to_string(answer.result), to_string(answer.reason),
            answer.result == outcome::answered
                ? fmt::format(" \"{}\"", answer.response.body)
                : std::string()));
    }

    std::vector<answer> answers;

private:
    std::string name_;
    std::vector<std::string>& lines_;
};

/// @brief Makes the settings of a node for tests.
inline config::settings make_settings(const std::string& id,
                                      const std::string& service)
{
    config::settings options;
    options.id = id;
    options.service = service;
    options.failure_domain = "d-1";
    options.failure_domains = {"d-1"};
    options.slots = 4;
    options.list_lag = std::chrono::seconds(1);
    return options;
}

/// @brief Makes an entry of the instance list for tests.
inline instance make_instance(const std::string& id, const std::string& service)
{
    instance value;
    value.id = id;
    value.service = service;
    value.failure_domain = "d-1";
    value.slots = 4;
    return value;
}

/// @brief Makes a contract table with one contract.
inline std::shared_ptr<const contract_table>
make_table(const std::string& text, std::uint64_t revision = 1)
{
    const auto contract = config::parse_contract(text, "test");
    versioned_delta delta;
    delta.revision = revision;
    delta.full = true;
    delta.entries.push_back({contract->customer, revision, text, false});
    return *contract_table().with_delta(delta);
}

/// @brief Makes a request of customer `acme`.
inline http_request make_request(const std::string& method,
                                 const std::string& target,
                                 const std::string& body = {})
{
    return {method, target, {{"Jujubespan-Customer", "acme"}}, body};
}

} // namespace jujubespan::engine::testing

#endif
