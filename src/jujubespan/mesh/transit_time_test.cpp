// Estimates of the time that messages were under way between hosts whose boot
// clocks differ.

#include "jujubespan/mesh/configuration_age.hpp"
#include "jujubespan/mesh/transit_time.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

class transit_time_test : public ::testing::Test
{
protected:
    // A message that was sent `delay` ago.
    std::optional<duration> receive(duration delay)
    {
        const auto sent_at = now.time_since_epoch() - delay - 700s;
        return transit.on_message("a", incarnation, sent_at, now);
    }

    void settle()
    {
        for (int i = 0; i < 4; ++i, now += 400ms)
        {
            receive(1ms);
        }
    }

    transit_time transit;
    std::uint64_t incarnation{1};
    time_point now{1000s};
};

TEST_F(transit_time_test, counts_the_delay_beyond_the_fastest_message)
{
    settle();
    EXPECT_LT(receive(1ms), 1ms);
    EXPECT_GE(receive(3s), 2990ms);
}

// After a cut, all messages that were queued arrive at once. The first one
// would otherwise count as a message without delay.
TEST_F(transit_time_test, first_messages_are_not_believed)
{
    for (auto delay = 6s; delay > 0s; delay -= 1s)
    {
        EXPECT_FALSE(receive(delay));
    }
    settle();
    EXPECT_GE(receive(5s), 4900ms);
}

// The boot clock of a restarted host starts again.
TEST_F(transit_time_test, restarted_sender_and_long_silence_start_again)
{
    settle();
    incarnation = 2;
    EXPECT_FALSE(receive(1ms));
    settle();
    EXPECT_TRUE(receive(1ms));
    now += 31s;
    EXPECT_FALSE(receive(1ms));
}

// A constant minimum would count hours of drift as delay, and all requests
// with keys would be refused.
TEST_F(transit_time_test, drift_of_the_clocks_is_not_counted)
{
    settle();
    duration drift{};
    for (int i = 0; i < 50'000; ++i, now += 400ms)
    {
        drift += 200us; // 500 ppm
        EXPECT_LT(receive(drift), 10ms);
    }
}

TEST(configuration_age, grows_since_the_latest_confirmation)
{
    configuration_age age;
    EXPECT_FALSE(age.age(time_point(9s)));
    age.on_confirmed(time_point(8s));
    age.on_confirmed(time_point(5s));
    EXPECT_EQ(age.age(time_point(9s)), 1s);
}

} // namespace
} // namespace jujubespan::mesh
