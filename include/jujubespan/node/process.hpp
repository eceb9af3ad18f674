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

/// @brief Differs at each start of a node.
std::uint64_t new_incarnation();

/// @brief Logs why a node could not start.
/// @return exit code of the process.
int fail_start(const absl::Status& status);

/// @brief Delivers signals on the event loop of its thread.
class signal_watch
{
public:
    /// @brief Blocks the signals; call before any thread starts.
    explicit signal_watch(std::initializer_list<int> signals);
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;
    ~signal_watch();

    /// @brief Begins delivery; call once the application object exists.
    void start(std::function<void(int)> on_signal);

private:
    void read();

    int descriptor_;
    std::function<void(int)> on_signal_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

/// @brief Owns the traffic thread and the loop that lives on it.
template <typename Loop>
class traffic_thread
{
public:
    /// @param make creates the loop on the traffic thread.
    explicit traffic_thread(const std::function<std::unique_ptr<Loop>()>& make)
    {
        thread_.setEventDispatcher(new epoll_dispatcher); // Owned by Qt.
        thread_.start();
        anchor_.moveToThread(&thread_);
        run(
            [&]
            {
                loop_ = make();
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
    [[nodiscard]] Loop& loop() { return *loop_; }

private:
    void run(const std::function<void()>& task)
    {
        QMetaObject::invokeMethod(&anchor_, task, Qt::BlockingQueuedConnection);
    }

    QThread thread_;
    QObject anchor_;
    std::unique_ptr<Loop> loop_;
    absl::Status status_;
};

} // namespace jujubespan::node

#endif
