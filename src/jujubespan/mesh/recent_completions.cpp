#include "jujubespan/mesh/recent_completions.hpp"

#include <utility>

namespace jujubespan::mesh
{

namespace
{

// Each of the two sets holds this many requests and covers this time.
constexpr std::size_t max_requests = 8192;
constexpr duration rotation_interval = std::chrono::seconds(5);

} // namespace

void recent_completions::record(request_fingerprint request, time_point now)
{
    if (newer_.size() >= max_requests)
    {
        rotate(now);
    }
    newer_.insert(request);
}

void recent_completions::expire(time_point now)
{
    if (now - rotated_at_ >= rotation_interval)
    {
        rotate(now);
    }
}

void recent_completions::rotate(time_point now)
{
    std::swap(older_, newer_);
    newer_.clear();
    rotated_at_ = now;
}

} // namespace jujubespan::mesh
