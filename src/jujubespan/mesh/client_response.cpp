#include "jujubespan/mesh/client_response.hpp"

#include "jujubespan/engine/http_mapping.hpp"
#include "jujubespan/policy/retry_budget.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace jujubespan::mesh
{

namespace
{

using engine::outcome;

// Retry-After as a share of the latency objective, so that the retry can still
// be answered within it.
constexpr double retry_delay_share = 0.25;
constexpr duration min_retry_delay = std::chrono::milliseconds(50);
constexpr duration max_retry_delay = std::chrono::seconds(1);

} // namespace

http_response make_client_response(const engine::answer& answer,
                                   duration objective, double random)
{
    if (answer.result == outcome::answered)
    {
        return answer.response;
    }
    http_response response;
    response.status = engine::http_status_of(answer.result, answer.reason);
    response.headers = {
        {"Jujubespan-Reason", std::string(to_string(answer.reason))}};
    if (answer.result == outcome::not_run)
    {
        const duration base =
            answer.retry_after > duration::zero()
                ? answer.retry_after
                : std::clamp(
                      from_seconds(seconds(objective) * retry_delay_share),
                      min_retry_delay, max_retry_delay);
        const auto wait = jittered_retry_after(base, random);
        response.headers.push_back(
            {"Retry-After", fmt::format("{:.3f}", seconds(wait))});
    }
    return response;
}

} // namespace jujubespan::mesh
