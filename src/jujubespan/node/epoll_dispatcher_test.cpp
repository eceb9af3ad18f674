// Tests of the epoll-based event dispatcher: notifiers, timers and its cost
// with many idle descriptors.

#include "jujubespan/node/epoll_dispatcher.hpp"

#include "jujubespan/http/testing.hpp"

#include <gtest/gtest.h>

#include <QThread>
#include <QTimer>

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <ctime>
#include <memory>
#include <vector>

namespace jujubespan::node
{
namespace
{

using namespace std::chrono_literals;

struct pipe_pair
{
    pipe_pair()
    {
        std::array<int, 2> ends{};
        EXPECT_EQ(::pipe(ends.data()), 0);
        read_end = ends[0];
        write_end = ends[1];
    }
    ~pipe_pair()
    {
        ::close(read_end);
        ::close(write_end);
    }
    pipe_pair(const pipe_pair&) = delete;
    pipe_pair& operator=(const pipe_pair&) = delete;

    void write() const { EXPECT_EQ(::write(write_end, "x", 1), 1); }
    void read() const
    {
        char byte = 0;
        EXPECT_EQ(::read(read_end, &byte, 1), 1);
    }

    int read_end{-1};
    int write_end{-1};
};

// Runs functions on a thread that uses the dispatcher.
class dispatcher_thread
{
public:
    dispatcher_thread()
    {
        testing::app();
        thread_.setEventDispatcher(new epoll_dispatcher); // Owned by Qt.
        thread_.start();
        context_object_.moveToThread(&thread_);
    }
    ~dispatcher_thread()
    {
        thread_.quit();
        thread_.wait();
    }
    dispatcher_thread(const dispatcher_thread&) = delete;
    dispatcher_thread& operator=(const dispatcher_thread&) = delete;

    void run_and_wait(const std::function<void()>& task)
    {
        QMetaObject::invokeMethod(&context_object_, task,
                                  Qt::BlockingQueuedConnection);
    }

private:
    QThread thread_;
    QObject context_object_;
};

template <typename Condition>
bool wait_until(Condition&& condition)
{
    for (int i = 0; i < 500 && !condition(); ++i)
    {
        QThread::msleep(2);
    }
    return condition();
}

TEST(epoll_dispatcher, activates_notifier_of_each_readable_descriptor)
{
    const pipe_pair pipe;
    std::atomic<int> reads{0};
    dispatcher_thread loop;
    std::unique_ptr<QSocketNotifier> notifier;
    loop.run_and_wait(
        [&]
        {
            notifier = std::make_unique<QSocketNotifier>(pipe.read_end,
                                                         QSocketNotifier::Read);
            QObject::connect(notifier.get(), &QSocketNotifier::activated,
                             notifier.get(),
                             [&]
                             {
                                 pipe.read();
                                 ++reads;
                             });
        });
    pipe.write();
    EXPECT_TRUE(wait_until([&] { return reads == 1; }));
    pipe.write();
    EXPECT_TRUE(wait_until([&] { return reads == 2; }));
    loop.run_and_wait([&] { notifier->setEnabled(false); });
    pipe.write();
    QThread::msleep(20);
    EXPECT_EQ(reads, 2) << "disabled";
    loop.run_and_wait([&] { notifier->setEnabled(true); });
    EXPECT_TRUE(wait_until([&] { return reads == 3; }));
    loop.run_and_wait([&] { notifier.reset(); });
}

TEST(epoll_dispatcher, reopened_descriptor_is_watched)
{
    dispatcher_thread loop;
    for (int round = 0; round < 3; ++round)
    {
        auto pipe = std::make_unique<pipe_pair>();
        std::atomic<int> reads{0};
        std::unique_ptr<QSocketNotifier> notifier;
        loop.run_and_wait(
            [&]
            {
                notifier = std::make_unique<QSocketNotifier>(
                    pipe->read_end, QSocketNotifier::Read);
                QObject::connect(notifier.get(), &QSocketNotifier::activated,
                                 notifier.get(),
                                 [&]
                                 {
                                     pipe->read();
                                     ++reads;
                                 });
            });
        pipe->write();
        EXPECT_TRUE(wait_until([&] { return reads == 1; })) << round;
        loop.run_and_wait(
            [&]
            {
                notifier.reset();
                // The next round gets the same descriptor numbers.
                pipe.reset();
            });
    }
}

TEST(epoll_dispatcher, descriptor_reopened_in_the_same_iteration_is_watched)
{
    dispatcher_thread loop;
    std::atomic<int> reads{0};
    std::unique_ptr<pipe_pair> pipe;
    std::unique_ptr<QSocketNotifier> notifier;
    const auto open = [&]
    {
        notifier.reset();
        pipe.reset();
        pipe = std::make_unique<pipe_pair>();
        notifier = std::make_unique<QSocketNotifier>(pipe->read_end,
                                                     QSocketNotifier::Read);
        QObject::connect(notifier.get(), &QSocketNotifier::activated,
                         notifier.get(),
                         [&]
                         {
                             pipe->read();
                             ++reads;
                         });
    };
    loop.run_and_wait(open);
    loop.run_and_wait(open); // Same descriptor numbers, in the same iteration.
    pipe->write();
    EXPECT_TRUE(wait_until([&] { return reads == 1; }));
    loop.run_and_wait([&] { notifier.reset(); });
}

TEST(epoll_dispatcher, notifier_may_be_disabled_by_an_earlier_handler)
{
    const pipe_pair first;
    const pipe_pair second;
    std::atomic<int> activations{0};
    dispatcher_thread loop;
    std::vector<std::unique_ptr<QSocketNotifier>> notifiers;
    loop.run_and_wait(
        [&]
        {
            for (const int descriptor : {first.read_end, second.read_end})
            {
                notifiers.push_back(std::make_unique<QSocketNotifier>(
                    descriptor, QSocketNotifier::Read));
                QObject::connect(notifiers.back().get(),
                                 &QSocketNotifier::activated,
                                 notifiers.back().get(),
                                 [&]
                                 {
                                     ++activations;
                                     for (auto& item : notifiers)
                                     {
                                         item->setEnabled(false);
                                     }
                                 });
            }
            first.write();
            second.write();
        });
    EXPECT_TRUE(wait_until([&] { return activations == 1; }));
    QThread::msleep(20);
    EXPECT_EQ(activations, 1);
    loop.run_and_wait([&] { notifiers.clear(); });
}

TEST(epoll_dispatcher, timers_repeat_until_stopped)
{
    std::atomic<int> ticks{0};
    std::atomic<int> single_shots{0};
    dispatcher_thread loop;
    std::unique_ptr<QTimer> timer;
    loop.run_and_wait(
        [&]
        {
            timer = std::make_unique<QTimer>();
            QObject::connect(timer.get(), &QTimer::timeout, timer.get(),
                             [&] { ++ticks; });
            timer->start(5ms);
            QTimer::singleShot(10ms, timer.get(), [&] { ++single_shots; });
        });
    EXPECT_TRUE(wait_until([&] { return ticks >= 5 && single_shots == 1; }));
    loop.run_and_wait([&] { timer->stop(); });
    const int before = ticks;
    QThread::msleep(30);
    EXPECT_EQ(ticks, before);
    EXPECT_EQ(single_shots, 1);
    loop.run_and_wait([&] { timer.reset(); });
}

// A node in a large fleet has a thousand idle connections; their number must
// not add to the processor time of an iteration.
TEST(epoll_dispatcher, idle_descriptors_add_no_processor_time_to_an_iteration)
{
    const auto processor_time_of_iterations = [](std::size_t idle)
    {
        std::vector<std::unique_ptr<pipe_pair>> pipes;
        std::vector<std::unique_ptr<QSocketNotifier>> notifiers;
        dispatcher_thread loop;
        double elapsed_seconds = 0;
        loop.run_and_wait(
            [&]
            {
                for (std::size_t i = 0; i < idle; ++i)
                {
                    pipes.push_back(std::make_unique<pipe_pair>());
                    notifiers.push_back(std::make_unique<QSocketNotifier>(
                        pipes.back()->read_end, QSocketNotifier::Read));
                }
            });
        const auto processor_time = []
        {
            timespec now{};
            ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
            return static_cast<double>(now.tv_sec) +
                   static_cast<double>(now.tv_nsec) * 1e-9;
        };
        const double before = processor_time();
        for (int i = 0; i < 2000; ++i)
        {
            loop.run_and_wait([] {});
        }
        elapsed_seconds = processor_time() - before;
        loop.run_and_wait([&] { notifiers.clear(); });
        return elapsed_seconds;
    };
    processor_time_of_iterations(1);
    EXPECT_LT(processor_time_of_iterations(300),
              2 * processor_time_of_iterations(1) + 0.01);
}

} // namespace
} // namespace jujubespan::node
