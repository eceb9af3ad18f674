// Start of a process whose addresses are still in use.

#include "jujubespan/node/process.hpp"

#include <gtest/gtest.h>

namespace jujubespan::node
{
namespace
{

TEST(listen_with_retry, waits_for_the_address_of_a_killed_process)
{
    int calls = 0;
    const auto status = listen_with_retry(
        [&] {
            return ++calls < 4 ? absl::UnavailableError("in use")
                               : absl::OkStatus();
        });
    EXPECT_TRUE(status.ok());
    EXPECT_EQ(calls, 4);
}

TEST(listen_with_retry, reports_an_address_that_stays_in_use)
{
    const auto status =
        listen_with_retry([] { return absl::UnavailableError("in use"); });
    EXPECT_EQ(status, absl::UnavailableError("in use"));
}

} // namespace
} // namespace jujubespan::node
