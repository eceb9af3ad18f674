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
constexpr unsigned max_lines_per_second = 10; // for each event
// PIPE_BUF of Linux: a write of up to this size to a pipe is atomic.
constexpr std::size_t max_line_bytes = 4096;

struct event_quota
{
    std::chrono::steady_clock::time_point window_start{};
    unsigned line_count{0};
    unsigned dropped_count{0};
};

std::atomic<log_level> min_level{log_level::info};

struct quota_table
{
    std::mutex mutex;
    string_map<event_quota> quotas;
};

quota_table& global_quota_table()
{
    static quota_table table;
    return table;
}

void count_dropped_lines(std::string_view event, unsigned count)
{
    auto& table = global_quota_table();
    const std::lock_guard lock(table.mutex);
    table.quotas[std::string(event)].dropped_count += count;
}

// Takes one line from the quota of an event. Returns the number of lines
// dropped since the last one that was allowed; empty if the quota of this
// second is used up, which counts as a dropped line.
std::optional<unsigned> consume_quota(std::string_view event)
{
    auto& table = global_quota_table();
    const std::lock_guard lock(table.mutex);
    const auto now = std::chrono::steady_clock::now();
    auto& quota = table.quotas[std::string(event)];
    if (now - quota.window_start >= std::chrono::seconds(1))
    {
        quota.window_start = now;
        quota.line_count = 0;
    }
    if (quota.line_count >= max_lines_per_second)
    {
        ++quota.dropped_count;
        return std::nullopt;
    }
    ++quota.line_count;
    const unsigned dropped = quota.dropped_count;
    quota.dropped_count = 0;
    return dropped;
}

// Truncates the line to its maximum size. Does not block: a pipe that poll()
// reports as writable accepts that size at once. Returns false if the line was
// not written.
bool write_line(std::string line)
{
    if (line.size() > max_line_bytes)
    {
        line.resize(max_line_bytes - 1);
        line += '\n';
    }
    pollfd stdout_poll{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&stdout_poll, 1, 0) == 1 &&
           (stdout_poll.revents & POLLOUT) != 0 &&
           ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
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
    min_level = level;
}

void write_log_line(log_level level, std::string_view event,
                    std::string_view fields)
{
    if (level < min_level)
    {
        return;
    }
    const auto dropped = consume_quota(event);
    if (!dropped)
    {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    const auto suffix =
        *dropped == 0 ? std::string() : fmt::format(" dropped={}", *dropped);
    const bool written = write_line(fmt::format(
        "time={:%FT%T}.{:03}Z level={} event={} {}{}\n", now,
        now.time_since_epoch().count() % 1000,
        level_names[static_cast<std::size_t>(level)], event, fields, suffix));
    if (!written)
    {
        count_dropped_lines(event, *dropped + 1);
    }
}

} // namespace jujubespan
