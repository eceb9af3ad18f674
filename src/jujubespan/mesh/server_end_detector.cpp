#include "jujubespan/mesh/server_end_detector.hpp"

namespace jujubespan::mesh
{

namespace
{

// The server runs on the same host, so a probe ends within milliseconds.
constexpr duration probe_timeout = std::chrono::milliseconds(100);

} // namespace

server_end_detector::finding
server_end_detector::on_exchange_failed(time_point started_at, time_point now)
{
    // A later exchange reached a new process, which may have ended as well.
    if (ended_at_ && started_at <= *ended_at_)
    {
        return finding::ended;
    }
    if (probe_sent_at_)
    {
        return finding::undecided;
    }
    probe_sent_at_ = now;
    return finding::probe_needed;
}

void server_end_detector::on_response()
{
    ended_at_.reset();
}

bool server_end_detector::on_probe_end(engine::backend_probe_result result,
                                       time_point now)
{
    if (!probe_sent_at_)
    {
        return false;
    }
    probe_sent_at_.reset();
    if (result != engine::backend_probe_result::refused)
    {
        return false;
    }
    ended_at_ = now;
    return true;
}

bool server_end_detector::give_up_probe(time_point now)
{
    if (!probe_sent_at_ || now - *probe_sent_at_ < probe_timeout)
    {
        return false;
    }
    probe_sent_at_.reset();
    return true;
}

} // namespace jujubespan::mesh
