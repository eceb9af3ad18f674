#include "jujubespan/mesh/attempt_end.hpp"

namespace jujubespan::mesh
{

namespace
{

using engine::outcome;
using engine::reason;

// Share of the slots in use below which a refusal is not for lack of room.
constexpr double full_share = 0.8;

constexpr unsigned first_server_error = 500;

} // namespace

attempt_end end_of(const routed_reply& reply)
{
    const auto& value = reply.value;
    if (value.result == outcome::answered)
    {
        return value.response.status < first_server_error ? attempt_end::served
                                                          : attempt_end::failed;
    }
    if (value.result == outcome::unknown)
    {
        return value.reason == reason::deadline ? attempt_end::withdrawn
                                                : attempt_end::failed;
    }
    switch (value.reason)
    {
    case reason::no_upstream:
    case reason::backend_unreachable:
    case reason::wrong_instance: // Until discovery lists the new one.
    case reason::leaving:
        return attempt_end::unreachable;
    case reason::backend_refused:
    {
        const auto& load = value.load;
        return load.in_flight < full_share * load.limit ? attempt_end::rejected
                                                        : attempt_end::full;
    }
    default:
        return attempt_end::full;
    }
}

} // namespace jujubespan::mesh
