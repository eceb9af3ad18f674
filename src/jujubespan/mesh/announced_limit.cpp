#include "jujubespan/mesh/announced_limit.hpp"

namespace jujubespan::mesh
{

namespace
{

// A response without a limit ends the limit only this long after the last one
// with it: its head may be older than that of a shorter response.
constexpr duration withdrawal_delay = std::chrono::milliseconds(250);

} // namespace

void announced_limit::on_response(const server_announcement& announcement,
                                  time_point now)
{
    if (announcement.rate_limit_unreadable)
    {
        return;
    }
    response_seen_ = true;
    if (announcement.rate_limit)
    {
        rate_ = announcement.rate_limit;
        announced_at_ = now;
        return;
    }
    if (now - announced_at_ >= withdrawal_delay)
    {
        rate_.reset();
    }
}

void announced_limit::on_report(double rate_limit, time_point now)
{
    if (response_seen_)
    {
        return;
    }
    rate_ = rate_limit;
    announced_at_ = now;
}

} // namespace jujubespan::mesh
