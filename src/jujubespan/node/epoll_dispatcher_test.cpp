// The event loop of a thread with many descriptors.

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
        out = ends[0];
        in = ends[1];
    }
    ~pipe_pair()
    {
        ::close(out);
        ::close(in);
    }
    pipe_pair(const pipe_pair&) = delete;
    pipe_pair& operator=(const pipe_pair&) = delete;

    void write() const { EXPECT_EQ(::write(in, "x", 1), 1); }
    void read() const
    {
        char byte = 0;
        EXPECT_EQ(::read(out, &byte, 1), 1);
    }

    int out{-1};
    int in{-1};
};

// Runs tasks on a thread with the dispatcher.
class loop_thread
{
public:
    loop_thread()
    {
        testing::app();
        thread_.setEventDispatcher(new epoll_dispatcher); // Owned by Qt.
        thread_.start();
        anchor_.moveToThread(&thread_);
    }
    ~loop_thread()
    {
        thread_.quit();
        thread_.wait();
    }
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    void run(const std::function<void()>& task)
    {
        QMetaObject::invokeMethod(&anchor_, task, Qt::BlockingQueuedConnection);
    }

private:
    QThread thread_;
    QObject anchor_;
};

template <typename Condition>
bool eventually(Condition&& condition)
{
    for (int i = 0; i < 500 && !condition(); ++i)
    {
        QThread::msleep(2);
    }
    return condition();
}

TEST(epoll_dispatcher, tells_of_each_readable_descriptor)
{
    const pipe_pair pipe;
    std::atomic<int> reads{0};
    loop_thread loop;
    std::unique_ptr<QSocketNotifier> notifier;
    loop.run(
        [&]
        {
            notifier = std::make_unique<QSocketNotifier>(pipe.out,
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
    EXPECT_TRUE(eventually([&] { return reads == 1; }));
    pipe.write();
    EXPECT_TRUE(eventually([&] { return reads == 2; }));
    loop.run([&] { notifier->setEnabled(false); });
    pipe.write();
    QThread::msleep(20);
    EXPECT_EQ(reads, 2) << "disabled";
    loop.run([&] { notifier->setEnabled(true); });
    EXPECT_TRUE(eventually([&] { return reads == 3; }));
    loop.run([&] { notifier.reset(); });
}

TEST(epoll_dispatcher, descriptor_that_is_opened_again_is_watched)
{
    loop_thread loop;
    for (int round = 0; round < 3; ++round)
    {
        auto pipe = std::make_unique<pipe_pair>();
        std::atomic<int> reads{0};
        std::unique_ptr<QSocketNotifier> notifier;
        loop.run(
            [&]
            {
                notifier = std::make_unique<QSocketNotifier>(
                    pipe->out, QSocketNotifier::Read);
                QObject::connect(notifier.get(), &QSocketNotifier::activated,
                                 notifier.get(),
                                 [&]
                                 {
                                     pipe->read();
                                     ++reads;
                                 });
            });
        pipe->write();
        EXPECT_TRUE(eventually([&] { return reads == 1; })) << round;
        loop.run(
            [&]
            {
                notifier.reset();
                pipe.reset(); // The next round gets the same descriptors.
            });
    }
}

TEST(epoll_dispatcher, descriptor_that_is_opened_again_at_once_is_watched)
{
    loop_thread loop;
    std::atomic<int> reads{0};
    std::unique_ptr<pipe_pair> pipe;
    std::unique_ptr<QSocketNotifier> notifier;
    const auto open = [&]
    {
        notifier.reset();
        pipe.reset();
        pipe = std::make_unique<pipe_pair>();
        notifier =
            std::make_unique<QSocketNotifier>(pipe->out, QSocketNotifier::Read);
        QObject::connect(notifier.get(), &QSocketNotifier::activated,
                         notifier.get(),
                         [&]
                         {
                             pipe->read();
                             ++reads;
                         });
    };
    loop.run(open);
    loop.run(open); // The same descriptors, within one turn.
    pipe->write();
    EXPECT_TRUE(eventually([&] { return reads == 1; }));
    loop.run([&] { notifier.reset(); });
}

TEST(epoll_dispatcher, notifier_may_be_removed_by_a_handler_before_it)
{
    const pipe_pair first;
    const pipe_pair second;
    std::atomic<int> calls{0};
    loop_thread loop;
    std::vector<std::unique_ptr<QSocketNotifier>> notifiers;
    loop.run(
        [&]
        {
            for (const int descriptor : {first.out, second.out})
            {
                notifiers.push_back(std::make_unique<QSocketNotifier>(
                    descriptor, QSocketNotifier::Read));
                QObject::connect(notifiers.back().get(),
                                 &QSocketNotifier::activated,
                                 notifiers.back().get(),
                                 [&]
                                 {
                                     ++calls;
                                     for (auto& item : notifiers)
                                     {
                                         item->setEnabled(false);
                                     }
                                 });
            }
            first.write();
            second.write();
        });
    EXPECT_TRUE(eventually([&] { return calls == 1; }));
    QThread::msleep(20);
    EXPECT_EQ(calls, 1);
    loop.run([&] { notifiers.clear(); });
}

TEST(epoll_dispatcher, timers_repeat_and_end)
{
    std::atomic<int> ticks{0};
    std::atomic<int> shots{0};
    loop_thread loop;
    std::unique_ptr<QTimer> timer;
    loop.run(
        [&]
        {
            timer = std::make_unique<QTimer>();
            QObject::connect(timer.get(), &QTimer::timeout, timer.get(),
                             [&] { ++ticks; });
            timer->start(5ms);
            QTimer::singleShot(10ms, timer.get(), [&] { ++shots; });
        });
    EXPECT_TRUE(eventually([&] { return ticks >= 5 && shots == 1; }));
    loop.run([&] { timer->stop(); });
    const int before = ticks;
    QThread::msleep(30);
    EXPECT_EQ(ticks, before);
    EXPECT_EQ(shots, 1);
    loop.run([&] { timer.reset(); });
}

// Pattern: a node of a large fleet, with a thousand idle connections.
TEST(epoll_dispatcher, idle_descriptors_cost_nothing_in_a_turn)
{
    const auto cost_of_turns = [](std::size_t idle)
    {
        std::vector<std::unique_ptr<pipe_pair>> pipes;
        std::vector<std::unique_ptr<QSocketNotifier>> notifiers;
        loop_thread loop;
        double seconds = 0;
        loop.run(
            [&]
            {
                for (std::size_t i = 0; i < idle; ++i)
                {
                    pipes.push_back(std::make_unique<pipe_pair>());
                    notifiers.push_back(std::make_unique<QSocketNotifier>(
                        pipes.back()->out, QSocketNotifier::Read));
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
            loop.run([] {});
        }
        seconds = processor_time() - before;
        loop.run([&] { notifiers.clear(); });
        return seconds;
    };
    cost_of_turns(1);
    EXPECT_LT(cost_of_turns(300), 2 * cost_of_turns(1) + 0.01);
}

} // namespace
} // namespace jujubespan::node
