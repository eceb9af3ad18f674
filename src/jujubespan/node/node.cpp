#include "jujubespan/node/node.hpp"

#include "jujubespan/config/status_text.hpp"
#include "jujubespan/http/descriptor_limit.hpp"
#include "jujubespan/metrics/log.hpp"
#include "jujubespan/node/control_loop.hpp"
#include "jujubespan/node/process.hpp"
#include "jujubespan/node/traffic_loop.hpp"

#include <QCoreApplication>

#include <csignal>
#include <memory>
#include <optional>
#include <utility>

namespace jujubespan::node
{

int run_node(const config::settings& options, int& argc, char** argv)
{
    log_uncaught_exceptions();
    http::raise_descriptor_limit();
    signal_listener signals{SIGTERM, SIGINT};
    QCoreApplication app(argc, argv);
    set_log_level(parse_log_level(options.log_level).value_or(log_level::info));
    auto context = peer::make_context();
    const auto incarnation = new_incarnation();
    std::optional<peer::authenticator> keys;
    if (options.keys.encryption_enabled())
    {
        keys.emplace(context);
    }
    traffic_thread<traffic_loop> traffic(
        [&] {
            return std::make_unique<traffic_loop>(options, incarnation,
                                                  context);
        });
    if (!traffic.status().ok())
    {
        return log_start_failure(traffic.status());
    }
    control_loop control(options, incarnation, context, traffic.loop(),
                         keys ? &*keys : nullptr);
    if (auto status = control.start(); !status.ok())
    {
        return log_start_failure(status);
    }
    log(log_level::info, "started", "id={} service={} failure_domain={}",
        options.id, options.service, options.failure_domain);

    bool stopping = false;
    signals.start(
        [&](int /*number*/)
        {
            if (std::exchange(stopping, true))
            {
                return;
            }
            log(log_level::info, "leaving", "id={}", options.id);
            control.begin_drain();
            traffic.loop().post_task(
                [&]
                {
                    traffic.loop().begin_drain(
                        [&app]
                        {
                            QMetaObject::invokeMethod(&app,
                                                      &QCoreApplication::quit,
                                                      Qt::QueuedConnection);
                        });
                });
        });
    const int code = QCoreApplication::exec();
    log(log_level::info, "stopped", "id={} code={}", options.id, code);
    return code;
}

} // namespace jujubespan::node
