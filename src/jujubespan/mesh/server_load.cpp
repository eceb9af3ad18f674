#include "jujubespan/mesh/server_load.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace jujubespan::mesh
{

namespace
{

// Higher figures are faults of the server.
constexpr std::uint32_t max_calls = 1'000'000;
constexpr std::uint32_t max_percent = 100'000;

constexpr double min_slowness = 0.25;
constexpr double max_slowness = 16;
// Accepted ratio of the reported factor to the measured one and the reverse. A
// server that becomes four times slower is believed before any of its slower
// runs has ended. The bound is closer for a server that reports to be fast,
// since calls follow such a report.
constexpr double max_exaggeration = 4;
constexpr double max_understatement = 2;

// Servers share their machines for some 600 ms at a time; an older report says
// little.
constexpr duration fading_start = std::chrono::milliseconds(300);
constexpr duration fading_end = std::chrono::seconds(1);

// Averaging times of the usual run time of a route and of the ratio of recent
// run times to it.
constexpr double usual_averaging_seconds = 30;
// The first runs of a route are averaged with equal weight for this time, so
// that a slow phase of its start is soon outweighed.
constexpr duration initial_averaging_time = std::chrono::seconds(5);
constexpr double recent_averaging_seconds = 0.3;
constexpr double min_runs_averaged = 5; // A single run says little.
// A run counts in the usual run time with at most this multiple of it, and at
// least its inverse, so that an incident of several seconds or a run that ends
// early hardly changes what is usual.
constexpr double max_counted_ratio = 2;
constexpr std::size_t max_routes = 512;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::optional<std::uint32_t> parse_figure(std::string_view text,
                                          std::uint32_t max)
{
    std::uint32_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || value > max)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::optional<server_load> parse_server_load(std::string_view header)
{
    std::array<std::uint32_t, 4> figures{};
    std::size_t count = 0;
    while (true)
    {
        const auto comma = header.find(',');
        if (count == figures.size())
        {
            return std::nullopt;
        }
        const bool is_percent = count + 1 == figures.size();
        const auto figure = parse_figure(trim(header.substr(0, comma)),
                                         is_percent ? max_percent : max_calls);
        if (!figure || (is_percent && *figure == 0))
        {
            return std::nullopt;
        }
        figures[count++] = *figure;
        if (comma == std::string_view::npos)
        {
            break;
        }
        header.remove_prefix(comma + 1);
    }
    if (count + 1 < figures.size())
    {
        return std::nullopt;
    }
    constexpr double percent = 0.01;
    return server_load{figures[0], figures[1], figures[2],
                       figures[3] * percent};
}

double faded_slowness(double reported, double usual, duration age)
{
    const double remaining = std::clamp(seconds(fading_end - age) /
                                            seconds(fading_end - fading_start),
                                        0.0, 1.0);
    return usual + (reported - usual) * remaining;
}

void server_speed::on_header(const server_load& load, time_point now)
{
    if (load.slowness > 0)
    {
        reported_ = load.slowness;
        reported_at_ = now;
    }
}

void server_speed::on_run(std::string_view route, duration run_time,
                          time_point now)
{
    const double value = seconds(run_time);
    if (value <= 0)
    {
        return;
    }
    auto found = usual_.find(route);
    if (found == usual_.end())
    {
        if (usual_.size() >= max_routes)
        {
            return;
        }
        found = usual_.try_emplace(std::string(route)).first;
        found->second.run_time = value;
        found->second.first_run_at = now;
    }
    auto& usual = found->second;
    const double ratio = value / usual.run_time;
    usual.runs += 1;
    const bool starting = now - usual.first_run_at < initial_averaging_time;
    const double weight = starting
                              ? 1 / usual.runs
                              : std::min(1.0, seconds(now - usual.updated_at) /
                                                  usual_averaging_seconds);
    usual.run_time +=
        weight *
        (std::clamp(ratio, 1 / max_counted_ratio, max_counted_ratio) - 1) *
        usual.run_time;
    usual.updated_at = now;

    const double recent_weight =
        std::min(1 / min_runs_averaged,
                 seconds(now - last_run_at_) / recent_averaging_seconds);
    last_run_at_ = now;
    recent_ratio_ += recent_weight * (ratio - recent_ratio_);
    mean_usual_ =
        mean_usual_ == 0
            ? usual.run_time
            : mean_usual_ + recent_weight * (usual.run_time - mean_usual_);
}

bool server_speed::is_known(time_point now) const
{
    return reported_ > 0 && now - reported_at_ < fading_end;
}

double server_speed::slowness(time_point now) const
{
    if (!is_known(now))
    {
        return 1;
    }
    const double lowest = std::min(1.0, recent_ratio_ / max_understatement);
    const double highest = std::max(1.0, recent_ratio_ * max_exaggeration);
    const double accepted = std::clamp(std::clamp(reported_, lowest, highest),
                                       min_slowness, max_slowness);
    return faded_slowness(accepted, 1, now - reported_at_);
}

duration server_speed::expected_run_time(time_point now) const
{
    return from_seconds(mean_usual_ * slowness(now));
}

} // namespace jujubespan::mesh
