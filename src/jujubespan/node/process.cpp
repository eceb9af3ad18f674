#include "jujubespan/node/process.hpp"

#include "jujubespan/config/status_text.hpp"
#include "jujubespan/metrics/log.hpp"

#include <chrono>
#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace jujubespan::node
{

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
