#include "jujubespan/node/node.hpp"

#include "jujubespan/config/status_text.hpp"
#include "jujubespan/http/descriptor_limit.hpp"
#include "jujubespan/metrics/log.hpp"
#include "jujubespan/node/control_loop.hpp"
#include "jujubespan/node/traffic_loop.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QThread>

#include <csignal>
#include <memory>
#include <optional>
#include <sys/signalfd.h>
#include <unistd.h>

namespace jujubespan::node
{

namespace
{

// Blocks the signals that stop a node and returns a descriptor for them.
int open_stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    return signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
}

std::uint64_t new_incarnation()
{
    return static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch().count());
}

// Owns the traffic thread and what lives on it.
class traffic_thread
{
public:
    traffic_thread(const config::settings& options, std::uint64_t incarnation,
                   zmq::context_t& context)
    {
        thread_.start();
        anchor_.moveToThread(&thread_);
        run(
            [&]
            {
                loop_ = std::make_unique<traffic_loop>(options, incarnation,
                                                       context);
                status_ = loop_->start();
            });
    }

    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    ~traffic_thread()
    {
        run([this] { loop_.reset(); });
        thread_.quit();
        thread_.wait();
    }

    [[nodiscard]] const absl::Status& status() const { return status_; }
    [[nodiscard]] traffic_loop& loop() { return *loop_; }

private:
    void run(const std::function<void()>& task)
    {
        QMetaObject::invokeMethod(&anchor_, task, Qt::BlockingQueuedConnection);
    }

    QThread thread_;
    QObject anchor_;
    std::unique_ptr<traffic_loop> loop_;
    absl::Status status_;
};

int fail(const absl::Status& status)
{
    log(log_level::error, "start_failed", "why=\"{}\"", text_of(status));
    return 1;
}

} // namespace

int run_node(const config::settings& options, int& argc, char** argv)
{
    http::raise_descriptor_limit();
    const int signals = open_stop_signals();
    QCoreApplication app(argc, argv);
    set_log_level(parse_log_level(options.log_level).value_or(log_level::info));
    zmq::context_t context(1);
    const auto incarnation = new_incarnation();
    std::optional<peer::authenticator> keys;
    if (options.keys.enabled())
    {
        keys.emplace(context);
    }
    traffic_thread traffic(options, incarnation, context);
    if (!traffic.status().ok())
    {
        return fail(traffic.status());
    }
    control_loop control(options, incarnation, context, traffic.loop(),
                         keys ? &*keys : nullptr);
    if (auto status = control.start(); !status.ok())
    {
        return fail(status);
    }
    log(log_level::info, "started", "id={} service={} failure_domain={}",
        options.id, options.service, options.failure_domain);

    QSocketNotifier notifier(signals, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &app,
                     [&]
                     {
                         notifier.setEnabled(false);
                         log(log_level::info, "leaving", "id={}", options.id);
                         control.begin_drain();
                         traffic.loop().post(
                             [&]
                             {
                                 traffic.loop().begin_drain(
                                     [&app]
                                     {
                                         QMetaObject::invokeMethod(
                                             &app, &QCoreApplication::quit,
                                             Qt::QueuedConnection);
                                     });
                             });
                     });
    const int code = QCoreApplication::exec();
    close(signals);
    log(log_level::info, "stopped", "id={} code={}", options.id, code);
    return code;
}

} // namespace jujubespan::node
