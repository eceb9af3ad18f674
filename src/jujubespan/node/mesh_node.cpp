#include "jujubespan/node/mesh_node.hpp"

#include "jujubespan/http/descriptor_limit.hpp"
#include "jujubespan/metrics/log.hpp"
#include "jujubespan/node/mesh_control.hpp"
#include "jujubespan/node/process.hpp"

#include <QCoreApplication>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <utility>

namespace jujubespan::node
{

int run_mesh_node(const config::mesh_settings& options,
                  const std::string& settings_file,
                  const mesh_platform& platform, int& argc, char** argv)
{
    log_uncaught_exceptions();
    http::raise_descriptor_limit();
    std::signal(SIGPIPE, SIG_IGN);
    signal_listener signals{SIGTERM, SIGINT, SIGHUP};
    QCoreApplication app(argc, argv);
    set_log_level(parse_log_level(options.log_level).value_or(log_level::info));
    auto context = peer::make_context();
    const auto incarnation = new_incarnation();
    traffic_thread<mesh_loop> traffic(
        [&]
        {
            return std::make_unique<mesh_loop>(options, platform.header_names(),
                                               incarnation, context);
        });
    if (!traffic.status().ok())
    {
        return log_start_failure(traffic.status());
    }
    mesh_control control(options, settings_file, traffic.loop());
    const auto source = platform.make_discovery(options, control.handler());
    if (auto status = control.start(*source); !status.ok())
    {
        return log_start_failure(status);
    }
    log(log_level::info, "started",
        "id={} service={} failure_domain={} incarnation={}", options.id,
        options.service, options.failure_domain, incarnation);

    bool stopping = false;
    signals.start(
        [&](int number)
        {
            if (number == SIGHUP)
            {
                control.reload_settings();
                return;
            }
            if (std::exchange(stopping, true))
            {
                return;
            }
            log(log_level::info, "leaving", "id={}", options.id);
            const auto quit = [&app]
            {
                QMetaObject::invokeMethod(&app, &QCoreApplication::quit,
                                          Qt::QueuedConnection);
            };
            traffic.loop().post_task([&traffic, quit]
                                     { traffic.loop().begin_drain(quit); });
        });
    const int code = QCoreApplication::exec();
    log(log_level::info, "stopped", "id={} code={}", options.id, code);
    // Without destructors: the end of the ZeroMQ context waits for its I/O
    // thread, and nothing is left to be saved.
    std::quick_exit(code);
}

} // namespace jujubespan::node
