// Log lines while the reader of standard output does not keep up.

#include "jujubespan/metrics/log.hpp"

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace jujubespan
{
namespace
{

// Replaces standard output by a pipe that nobody reads until `drain`.
class log_to_pipe : public ::testing::Test
{
protected:
    log_to_pipe()
    {
        EXPECT_EQ(::pipe(ends_.data()), 0);
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        saved_stdout_ = ::dup(STDOUT_FILENO);
        ::dup2(ends_[1], STDOUT_FILENO);
    }

    ~log_to_pipe() override
    {
        ::dup2(saved_stdout_, STDOUT_FILENO);
        ::close(saved_stdout_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    void fill()
    {
        const std::string block(4096, 'x');
        ::fcntl(ends_[1], F_SETFL, O_NONBLOCK);
        while (::write(ends_[1], block.data(), block.size()) > 0)
        {
        }
        ::fcntl(ends_[1], F_SETFL, 0);
    }

    std::string drain()
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t size = 1; size > 0;)
        {
            size = ::read(ends_[0], buffer.data(), buffer.size());
            text.append(buffer.data(), size > 0 ? size : 0);
        }
        return text;
    }

private:
    std::array<int, 2> ends_{};
    int saved_stdout_{-1};
};

// A line that reports dropped lines may itself be dropped. The next line that
// is written has to report all of them.
TEST_F(log_to_pipe, count_of_dropped_lines_survives_a_dropped_line)
{
    fill();
    write_log_line(log_level::error, "lost", "number=1");
    write_log_line(log_level::error, "lost", "number=2");
    write_log_line(log_level::error, "lost", "number=3");
    drain();
    write_log_line(log_level::error, "lost", "number=4");
    const auto text = drain();
    EXPECT_NE(text.find("number=4 dropped=3"), std::string::npos) << text;
}

} // namespace
} // namespace jujubespan
