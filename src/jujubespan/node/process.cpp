#include "jujubespan/node/process.hpp"

#include "jujubespan/config/status_text.hpp"
#include "jujubespan/metrics/log.hpp"
#include "jujubespan/policy/time.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>
#include <sys/signalfd.h>
#include <thread>
#include <unistd.h>

namespace jujubespan::node
{

namespace
{

// After a kill, the kernel or the platform may release the addresses of the
// previous process a moment after this one starts.
constexpr duration listen_retry_time = std::chrono::seconds(3);
constexpr auto listen_retry_interval = std::chrono::milliseconds(100);

} // namespace

std::uint64_t new_incarnation()
{
    return static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch().count());
}

int log_start_failure(const absl::Status& status)
{
    log(log_level::error, "start_failed", "why=\"{}\"", text_of(status));
    return 1;
}

absl::Status listen_with_retry(const std::function<absl::Status()>& listen)
{
    const auto give_up_at = boot_clock::now() + listen_retry_time;
    auto status = listen();
    while (!status.ok() && boot_clock::now() < give_up_at)
    {
        log(log_level::warn, "listen_failed", "why=\"{}\"", text_of(status));
        std::this_thread::sleep_for(listen_retry_interval);
        status = listen();
    }
    return status;
}

void log_uncaught_exceptions()
{
    std::set_terminate(
        []
        {
            std::string reason = "terminate called without an exception";
            try
            {
                if (const auto current = std::current_exception())
                {
                    std::rethrow_exception(current);
                }
            }
            catch (const std::exception& error)
            {
                reason = error.what();
            }
            catch (...)
            {
                reason = "exception of an unknown type";
            }
            log(log_level::error, "terminated", "why=\"{}\"", reason);
            std::abort();
        });
}

signal_listener::signal_listener(std::initializer_list<int> signals)
{
    sigset_t set;
    sigemptyset(&set);
    for (const int number : signals)
    {
        sigaddset(&set, number);
    }
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    descriptor_ = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
}

signal_listener::~signal_listener()
{
    notifier_.reset();
    ::close(descriptor_);
}

void signal_listener::start(std::function<void(int)> on_signal)
{
    on_signal_ = std::move(on_signal);
    notifier_ =
        std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated,
                     notifier_.get(), [this] { read_signals(); });
}

void signal_listener::read_signals()
{
    signalfd_siginfo info{};
    while (::read(descriptor_, &info, sizeof info) == sizeof info)
    {
        on_signal_(static_cast<int>(info.ssi_signo));
    }
}

} // namespace jujubespan::node
