// Tests of the load header of backend servers and of the speed that follows.

#include "jujubespan/mesh/server_load.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

const time_point start{1000s};

TEST(server_load, reads_four_figures)
{
    EXPECT_EQ(parse_server_load("12,3,50,250"), (server_load{12, 3, 50, 2.5}));
    EXPECT_EQ(parse_server_load(" 12 ,\t3, 50 , 50 "),
              (server_load{12, 3, 50, 0.5}));
}

TEST(server_load, three_figures_state_no_speed)
{
    EXPECT_EQ(parse_server_load("12,3,50"), (server_load{12, 3, 50, 0}));
}

// Guards against a server that appears idle or fast by a faulty header.
TEST(server_load, faulty_header_is_ignored)
{
    for (const auto* text : {"",
                             ",",
                             "12,3",
                             "12,,50,100",
                             ",3,50,100",
                             "12,3,50,",
                             "12,3,50,0",
                             "-1,3,50,100",
                             "12,3,50,-100",
                             "+12,3,50,100",
                             "12,3,50,1e2",
                             "12,3,50,100.5",
                             "12,3,50,100%",
                             "1 2,3,50,100",
                             "a,3,50,100",
                             "12,3,50,nan",
                             "12,3,50,inf",
                             "0x1,3,50,100",
                             "1000001,3,50,100",
                             "12,3,50,100001",
                             "99999999999999999999,3,50,100",
                             "12,3,50,18446744073709551716",
                             "12,3,50,100,1",
                             "12,3,50,100,"})
    {
        EXPECT_FALSE(parse_server_load(text)) << text;
    }
}

class server_speed_test : public ::testing::Test
{
protected:
    void report(double slowness)
    {
        target.on_header({1, 0, 50, slowness}, now);
    }

    void run(int calls, duration run_time)
    {
        for (int i = 0; i < calls; ++i)
        {
            now += 5ms;
            target.on_run("r", run_time, now);
        }
    }

    time_point now{start};
    server_speed target;
};

TEST_F(server_speed_test, is_as_usual_without_a_report)
{
    EXPECT_FALSE(target.is_known(now));
    report(0);
    EXPECT_FALSE(target.is_known(now));
    EXPECT_EQ(target.slowness(now), 1);
}

TEST_F(server_speed_test, report_fades_between_300_ms_and_one_second)
{
    report(3);
    EXPECT_EQ(target.slowness(now + 300ms), 3);
    EXPECT_NEAR(target.slowness(now + 650ms), 2, 1e-9);
    EXPECT_EQ(target.slowness(now + 1s), 1);
    EXPECT_FALSE(target.is_known(now + 1s));
}

TEST_F(server_speed_test, unmeasured_report_is_bounded)
{
    report(1000);
    EXPECT_EQ(target.slowness(now), 4);
    report(0.01);
    EXPECT_EQ(target.slowness(now), 0.5);
}

// A server whose run times are as usual cannot claim any factor.
TEST_F(server_speed_test, false_report_is_bounded_by_the_run_times)
{
    run(200, 20ms);
    report(16);
    EXPECT_NEAR(target.slowness(now), 4, 0.01);
    report(0.25);
    EXPECT_NEAR(target.slowness(now), 0.5, 0.01);
}

TEST_F(server_speed_test, factor_that_the_run_times_confirm_is_accepted)
{
    run(200, 20ms);
    report(12);
    run(100, 240ms);
    report(12);
    EXPECT_EQ(target.slowness(now), 12);
    report(100);
    EXPECT_EQ(target.slowness(now), 16);
}

// Calls that wait for a slow service downstream take longer, too.
TEST_F(server_speed_test, long_run_times_alone_do_not_slow_a_server)
{
    run(200, 20ms);
    run(100, 240ms);
    report(1);
    EXPECT_EQ(target.slowness(now), 1);
}

// Guards against an incident of seconds that becomes the usual run time.
TEST_F(server_speed_test, incident_hardly_changes_the_usual_run_time)
{
    run(2000, 20ms);  // ten seconds
    run(1800, 240ms); // nine seconds
    report(1);
    EXPECT_LE(target.expected_run_time(now), 30ms);
}

// The mix of routes must not look like a change of speed.
TEST_F(server_speed_test, run_times_are_compared_within_a_route)
{
    run(100, 10ms);
    for (int i = 0; i < 100; ++i)
    {
        now += 5ms;
        target.on_run("long", 500ms, now);
    }
    report(16);
    EXPECT_NEAR(target.slowness(now), 4, 0.01);
}

} // namespace
} // namespace jujubespan::mesh
