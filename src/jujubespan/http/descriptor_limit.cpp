#include "jujubespan/http/descriptor_limit.hpp"

#include <sys/resource.h>

namespace jujubespan::http
{

void raise_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
    {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace jujubespan::http
