#ifndef JUJUBESPAN_NODE_PROCESS_HPP
#define JUJUBESPAN_NODE_PROCESS_HPP

#include "jujubespan/node/epoll_dispatcher.hpp"

#include <absl/status/status.h>

#include <QObject>
#include <QSocketNotifier>
#include <QThread>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>

namespace jujubespan::node
{

/// @brief Returns a number that differs at each start of a node: the current
/// time.
std::uint64_t new_incarnation();

/// @brief Logs the reason why a node could not start.
/// @return exit code of the process.
int log_start_failure(const absl::Status& status);

/// @brief Calls a function that binds an address until it succeeds, for a few
/// seconds. Blocks the calling thread.
/// @return the last status.
absl::Status listen_with_retry(const std::function<absl::Status()>& listen);

/// @brief Logs the reason before an uncaught exception ends the process.
void log_uncaught_exceptions();

/// @brief Delivers signals on the event loop of the thread that calls `start`.
class signal_listener
{
public:
    /// @brief Blocks the signals. Must be called before any thread starts,
    /// because threads inherit the signal mask.
    explicit signal_listener(std::initializer_list<int> signals);
    signal_listener(const signal_listener&) = delete;
    signal_listener& operator=(const signal_listener&) = delete;
    ~signal_listener();

    /// @brief Starts delivery. The application object must exist.
    void start(std::function<void(int)> on_signal);

private:
    void read_signals();

    int descriptor_;
    std::function<void(int)> on_signal_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

/// @brief Owns the traffic thread and the loop that lives on it.
template <typename Loop>
class traffic_thread
{
public:
    /// @param make_loop creates the loop on the traffic thread.
    explicit traffic_thread(
        const std::function<std::unique_ptr<Loop>()>& make_loop)
    {
        thread_.setEventDispatcher(new epoll_dispatcher); // Owned by Qt.
        thread_.start();
        context_object_.moveToThread(&thread_);
        run_and_wait(
            [&]
            {
                loop_ = make_loop();
                status_ = loop_->start();
            });
    }

    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    ~traffic_thread()
    {
        run_and_wait([this] { loop_.reset(); });
        thread_.quit();
        thread_.wait();
    }

    [[nodiscard]] const absl::Status& status() const { return status_; }
    [[nodiscard]] Loop& loop() { return *loop_; }

private:
    void run_and_wait(const std::function<void()>& task)
    {
        QMetaObject::invokeMethod(&context_object_, task,
                                  Qt::BlockingQueuedConnection);
    }

    QThread thread_;
    QObject context_object_;
    std::unique_ptr<Loop> loop_;
    absl::Status status_;
};

} // namespace jujubespan::node

#endif
