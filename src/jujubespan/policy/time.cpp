#include "jujubespan/policy/time.hpp"

#include <ctime>

namespace jujubespan
{

time_point boot_clock::now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace jujubespan
