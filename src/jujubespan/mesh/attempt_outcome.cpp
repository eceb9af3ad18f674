#include "jujubespan/mesh/attempt_outcome.hpp"

namespace jujubespan::mesh
{

namespace
{

using engine::outcome;
using engine::reason;

// Below this share of slots in use a refusal is not due to overload.
constexpr double overloaded_share = 0.8;

constexpr unsigned first_server_error = 500;

} // namespace

attempt_outcome classify_reply(const routed_reply& reply)
{
    const auto& answer = reply.answer;
    if (answer.result == outcome::answered)
    {
        return answer.response.status < first_server_error
                   ? attempt_outcome::success
                   : attempt_outcome::failed;
    }
    if (reply.backend_ended)
    {
        return attempt_outcome::unreachable;
    }
    if (answer.result == outcome::unknown)
    {
        return answer.reason == reason::deadline ? attempt_outcome::cancelled
                                                 : attempt_outcome::failed;
    }
    switch (answer.reason)
    {
    case reason::no_upstream:
    case reason::backend_unreachable:
    case reason::wrong_instance: // Until discovery lists the new instance.
    case reason::leaving:
        return attempt_outcome::unreachable;
    case reason::rate_limit:
        return attempt_outcome::paced;
    case reason::quarantined: // Says nothing about the instance.
        return attempt_outcome::cancelled;
    case reason::backend_refused:
    {
        const auto& load = answer.load;
        return load.in_flight < overloaded_share * load.limit
                   ? attempt_outcome::rejected
                   : attempt_outcome::overloaded;
    }
    default:
        return attempt_outcome::overloaded;
    }
}

} // namespace jujubespan::mesh
