// The HTTP client on real sockets: what is an answer, and which connections are
// used.

#include "jujubespan/http/client.hpp"

#include "jujubespan/http/recorder_testing.hpp"
#include "jujubespan/http/testing.hpp"

#include <gtest/gtest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <arpa/inet.h>
#include <array>
#include <functional>
#include <map>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace jujubespan::http
{
namespace
{

using namespace std::chrono_literals;

using jujubespan::testing::app;
using jujubespan::testing::free_endpoint;
using jujubespan::testing::wait_for;
using testing::recorder;

// A backend server that does what a test tells it.
class scripted_backend
{
public:
    explicit scripted_backend(
        const std::function<void(QTcpSocket&)>& on_request)
    {
        app();
        listener.listen(QHostAddress::LocalHost);
        QObject::connect(&listener, &QTcpServer::newConnection, &listener,
                         [this, on_request]
                         {
                             auto* socket = listener.nextPendingConnection();
                             QObject::connect(
                                 socket, &QTcpSocket::readyRead, socket,
                                 [this, socket, on_request]
                                 {
                                     const auto bytes = socket->readAll();
                                     received += static_cast<int>(
                                         bytes.count("HTTP/1.1\r\n"));
                                     on_request(*socket);
                                 });
                         });
    }

    [[nodiscard]] config::endpoint endpoint() const
    {
        return {"127.0.0.1", listener.serverPort()};
    }

    QTcpServer listener;
    int received{0};
};

http_request post()
{
    return {"POST", "/", {}, "body"};
}

TEST(http_client, sends_a_post_once_when_the_server_closes_after_reading)
{
    int answered = 0;
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            if (answered++ == 0)
            {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                return;
            }
            socket.disconnectFromHost();
        });
    recorder handler;
    client target(backend.endpoint(), {}, 4, handler);
    target.start(1, post());
    ASSERT_TRUE(wait_for([&] { return handler.ends.contains(1); }));
    EXPECT_EQ(handler.ends[1].second.body, "ok");
    EXPECT_EQ(target.idle(), 1U);
    target.start(2, post()); // On the connection that was kept.
    ASSERT_TRUE(wait_for([&] { return handler.ends.contains(2); }));
    EXPECT_EQ(handler.ends[2].first, client_end::failed);
    wait_for([] { return false; });
    EXPECT_EQ(backend.received, 2);
}

TEST(http_client, an_answer_that_is_not_whole_is_no_answer)
{
    const QByteArray cases[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n\r\nends with the connection",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        "garbage\r\n\r\n"};
    for (const auto& bytes : cases)
    {
        scripted_backend backend(
            [&](QTcpSocket& socket)
            {
                socket.write(bytes);
                socket.disconnectFromHost();
            });
        recorder handler;
        client target(backend.endpoint(), {}, 4, handler);
        target.start(1, post());
        ASSERT_TRUE(wait_for([&] { return handler.ends.contains(1); }));
        EXPECT_EQ(handler.ends[1].first, client_end::failed)
            << bytes.toStdString();
        EXPECT_EQ(target.idle(), 0U);
    }
}

TEST(http_client, interim_answers_and_stray_bytes)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write("HTTP/1.1 102 Processing\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        });
    recorder handler;
    client target(backend.endpoint(), {}, 4, handler);
    target.start(1, post());
    ASSERT_TRUE(wait_for([&] { return handler.ends.contains(1); }));
    EXPECT_EQ(handler.ends[1].second.body, "ok");
    EXPECT_EQ(target.idle(), 0U); // Never used for another request.
}

TEST(http_client, tells_unreachable_from_failed)
{
    recorder handler;
    client target(free_endpoint(), {}, 4, handler);
    target.start(1, post());
    ASSERT_TRUE(wait_for([&] { return handler.ends.contains(1); }));
    EXPECT_EQ(handler.ends[1].first, client_end::unreachable);
}

TEST(http_client, opens_as_many_connections_as_there_are_requests)
{
    scripted_backend backend([](QTcpSocket&) {});
    recorder handler;
    client target(backend.endpoint(), {}, 4, handler);
    for (std::uint64_t i = 1; i <= 24; ++i)
    {
        target.start(i, post());
    }
    EXPECT_TRUE(wait_for([&] { return backend.received == 24; }));
    target.cancel(3);
    EXPECT_FALSE(handler.ends.contains(3));
}

client_options checked_options()
{
    client_options value;
    value.max_idle = 4;
    value.echo_header = "Request-Id";
    value.close_delimited = true;
    return value;
}

http_request get_with_id(std::string id)
{
    return {"GET", "/", {{"Request-Id", std::move(id)}}, ""};
}

// Pattern: a second answer to an earlier request arrives where the next
// answer is expected.
TEST(http_client, answer_to_an_earlier_request_is_skipped)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write("HTTP/1.1 200 OK\r\nRequest-Id: old\r\n"
                         "Content-Length: 3\r\n\r\nold"
                         "HTTP/1.1 200 OK\r\nRequest-Id: new\r\n"
                         "Content-Length: 3\r\n\r\nnew");
        });
    recorder handler;
    client target(backend.endpoint(), checked_options(), handler);
    target.start(1, get_with_id("new"));
    ASSERT_TRUE(wait_for([&] { return handler.ends.contains(1); }));
    EXPECT_EQ(handler.ends[1].first, client_end::answered);
    EXPECT_EQ(handler.ends[1].second.body, "new");
    EXPECT_EQ(target.idle(), 0U) << "carries answers out of step";
}

TEST(http_client, last_answer_to_an_earlier_request_is_a_failure)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write("HTTP/1.1 200 OK\r\nRequest-Id: old\r\n"
                         "Connection: close\r\nContent-Length: 3\r\n\r\nold");
            socket.disconnectFromHost();
        });
    recorder handler;
    client target(backend.endpoint(), checked_options(), handler);
    target.start(1, get_with_id("new"));
    ASSERT_TRUE(wait_for([&] { return handler.ends.contains(1); }));
    EXPECT_EQ(handler.ends[1].first, client_end::failed);
}

TEST(http_client, body_may_end_with_an_orderly_close)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write("HTTP/1.1 200 OK\r\n\r\nwhole body");
            socket.disconnectFromHost();
        });
    recorder handler;
    client target(backend.endpoint(), checked_options(), handler);
    target.start(1, get_with_id("1"));
    ASSERT_TRUE(wait_for([&] { return handler.ends.contains(1); }));
    EXPECT_EQ(handler.ends[1].first, client_end::answered);
    EXPECT_EQ(handler.ends[1].second.body, "whole body");
}

// Pattern: the connection is reset in the middle of a body without a length.
TEST(http_client, body_does_not_end_with_a_reset)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write("HTTP/1.1 200 OK\r\n\r\nhalf");
            socket.flush();
            const linger reset{1, 0};
            setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET,
                       SO_LINGER, &reset, sizeof reset);
            QTimer::singleShot(50, &socket, [&socket] { socket.abort(); });
        });
    recorder handler;
    client target(backend.endpoint(), checked_options(), handler);
    target.start(1, get_with_id("1"));
    ASSERT_TRUE(wait_for([&] { return handler.ends.contains(1); }));
    EXPECT_EQ(handler.ends[1].first, client_end::failed);
}

TEST(http_client, idle_connection_is_not_used_beyond_the_announced_time)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                         "Content-Length: 2\r\n\r\nok");
        });
    recorder handler;
    client target(backend.endpoint(), checked_options(), handler);
    for (std::uint64_t i = 1; i <= 2; ++i)
    {
        target.start(i, get_with_id("1"));
        ASSERT_TRUE(wait_for([&] { return handler.ends.contains(i); }));
    }
    EXPECT_EQ(target.connects(), 2U);
}

// Pattern: a server forgets idle connections sooner than it said, and resets
// whatever comes next on them.
TEST(http_client, request_that_must_not_repeat_uses_fresh_connections_only)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        { socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); });
    recorder handler;
    auto options = checked_options();
    options.idle_time = 5s;
    options.fresh_time = 100ms;
    client target(backend.endpoint(), options, handler);
    const auto exchange = [&](std::uint64_t id, bool repeatable)
    {
        auto request = get_with_id("1");
        request.idempotent = repeatable;
        target.start(id, request);
        EXPECT_TRUE(wait_for([&] { return handler.ends.contains(id); }));
    };
    exchange(1, false);
    exchange(2, false);
    EXPECT_EQ(target.connects(), 1U) << "in use a moment ago";
    wait_for([] { return false; }, 150);
    exchange(3, true);
    EXPECT_EQ(target.connects(), 1U) << "may be repeated";
    wait_for([] { return false; }, 150);
    exchange(4, false);
    EXPECT_EQ(target.connects(), 2U);
}

// Pattern: a server answers before it has read a long body and reads on.
TEST(http_client, connection_with_an_unsent_body_is_not_used_again)
{
    bool answered = false;
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            if (!std::exchange(answered, true))
            {
                socket.write("HTTP/1.1 413 Too Large\r\n"
                             "Content-Length: 0\r\n\r\n");
                socket.flush();
                socket.setReadBufferSize(1);
            }
        });
    recorder handler;
    client target(backend.endpoint(), checked_options(), handler);
    target.start(1, {"POST", "/", {}, std::string(32U << 20U, 'x')});
    ASSERT_TRUE(wait_for([&] { return handler.ends.contains(1); }));
    EXPECT_EQ(handler.ends[1].second.status, 413U);
    EXPECT_EQ(target.idle(), 0U);
}

// Pattern: a server is dark: it neither accepts nor refuses connections.
TEST(http_client, connection_that_does_not_open_in_time_is_unreachable)
{
    // A full queue of connections drops the opening packets of further ones.
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&address), size), 0);
    ASSERT_EQ(listen(listener, 0), 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    const config::endpoint endpoint{"127.0.0.1", ntohs(address.sin_port)};
    std::array<QTcpSocket, 2> fillers;
    for (auto& filler : fillers)
    {
        filler.connectToHost("127.0.0.1", endpoint.port);
    }
    wait_for([] { return false; }, 100);

    recorder handler;
    auto options = checked_options();
    options.connect_time = 250ms;
    client target(endpoint, options, handler);
    target.start(1, get_with_id("1"));
    EXPECT_TRUE(wait_for([&] { return handler.ends.contains(1); }, 600));
    EXPECT_EQ(handler.ends[1].first, client_end::unreachable);
    close(listener);
}

} // namespace
} // namespace jujubespan::http
