#include "jujubespan/metrics/log.hpp"

#include "jujubespan/policy/string_map.hpp"

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace jujubespan
{

namespace
{

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warn",
                                                      "error"};
constexpr unsigned lines_per_second = 10;
constexpr std::size_t longest_line = 4096; // PIPE_BUF: written whole

struct event_quota
{
    std::chrono::steady_clock::time_point second{};
    unsigned lines{0};
    unsigned dropped{0};
};

std::atomic<log_level> least_level{log_level::info};

struct quota_table
{
    std::mutex mutex;
    string_map<event_quota> quotas;
};

quota_table& quotas()
{
    static quota_table table;
    return table;
}

void count_dropped(std::string_view event)
{
    auto& table = quotas();
    const std::lock_guard lock(table.mutex);
    ++table.quotas[std::string(event)].dropped;
}

// The quota of an event; the number dropped before when a line may be
// written, nothing when it may not.
std::optional<unsigned> take_line(std::string_view event)
{
    auto& table = quotas();
    const std::lock_guard lock(table.mutex);
    const auto now = std::chrono::steady_clock::now();
    auto& quota = table.quotas[std::string(event)];
    if (now - quota.second >= std::chrono::seconds(1))
    {
        quota.second = now;
        quota.lines = 0;
    }
    if (quota.lines >= lines_per_second)
    {
        ++quota.dropped;
        return std::nullopt;
    }
    ++quota.lines;
    const unsigned dropped = quota.dropped;
    quota.dropped = 0;
    return dropped;
}

// Writes without waiting: a pipe that is ready takes this much at once.
void write_line(std::string_view event, std::string line)
{
    if (line.size() > longest_line)
    {
        line.resize(longest_line - 1);
        line += '\n';
    }
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    const bool writable = ::poll(&output, 1, 0) == 1 &&
                          (output.revents & POLLOUT) != 0 &&
                          ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
    if (!writable)
    {
        count_dropped(event);
    }
}

} // namespace

std::optional<log_level> parse_log_level(std::string_view name)
{
    for (std::size_t i = 0; i < level_names.size(); ++i)
    {
        if (level_names[i] == name)
        {
            return static_cast<log_level>(i);
        }
    }
    return std::nullopt;
}

void set_log_level(log_level level)
{
    least_level = level;
}

void log_line(log_level level, std::string_view event, std::string_view fields)
{
    if (level < least_level)
    {
        return;
    }
    const auto dropped = take_line(event);
    if (!dropped)
    {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    const auto suffix =
        *dropped == 0 ? std::string() : fmt::format(" dropped={}", *dropped);
    write_line(event,
               fmt::format("time={:%FT%T}Z level={} event={} {}{}\n", now,
                           level_names[static_cast<std::size_t>(level)], event,
                           fields, suffix));
}

} // namespace jujubespan
