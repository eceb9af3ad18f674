// Tests of the HTTP client over real sockets: which responses it accepts and
// which connections it reuses.

#include "jujubespan/http/client.hpp"

#include "jujubespan/http/recorder_testing.hpp"
#include "jujubespan/http/testing.hpp"

#include <gtest/gtest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <functional>
#include <malloc.h>
#include <map>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace jujubespan::http
{
namespace
{

using namespace std::chrono_literals;

using jujubespan::testing::app;
using jujubespan::testing::free_endpoint;
using jujubespan::testing::wait_for;
using testing::recorder;

// A backend server that calls a function of the test whenever data arrives.
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
                                     received_requests += static_cast<int>(
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
    int received_requests{0};
};

http_request make_post()
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
    target.start(1, make_post());
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].second.body, "ok");
    EXPECT_EQ(target.idle_connection_count(), 1U);
    target.start(2, make_post()); // On the idle connection.
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(2); }));
    EXPECT_EQ(handler.results[2].first, exchange_result::failed);
    wait_for([] { return false; });
    EXPECT_EQ(backend.received_requests, 2);
}

TEST(http_client, incomplete_response_is_a_failure)
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
        target.start(1, make_post());
        ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
        EXPECT_EQ(handler.results[1].first, exchange_result::failed)
            << bytes.toStdString();
        EXPECT_EQ(target.idle_connection_count(), 0U);
    }
}

// Guards against a trailer that the parsing library cannot hold ending the
// process, and with it all other requests.
TEST(http_client, response_with_an_overlong_trailer_is_a_failure)
{
    const QByteArray overlong =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nok\r\n0\r\nName: " +
        QByteArray(70'000, 'x') + "\r\n\r\n";
    int answered = 0;
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write(answered++ == 0 ? overlong
                                         : "HTTP/1.1 204 No Content\r\n\r\n");
        });
    recorder handler;
    client target(backend.endpoint(), {.header_bytes = 64U << 10U}, 4, handler);
    target.start(1, make_post());
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].first, exchange_result::failed);
    target.start(2, make_post());
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(2); }));
    EXPECT_EQ(handler.results[2].first, exchange_result::answered);
}

TEST(http_client, skips_interim_responses_and_drops_connections_with_extra_data)
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
    target.start(1, make_post());
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].second.body, "ok");
    EXPECT_EQ(target.idle_connection_count(), 0U); // Not reused.
}

// Guards against a server that pauses while it reads an upload counting as
// dead: the kernel's limit on unacknowledged data includes data that waits for
// the server's receive window.
TEST(http_client, upload_that_the_server_reads_slowly_is_completed)
{
    app();
    constexpr int receive_buffer_bytes = 32 << 10;
    constexpr int pause_ms = 2500;
    const std::string body(2U << 20U, 'x');
    QTcpServer listener;
    ASSERT_TRUE(listener.listen(QHostAddress::LocalHost));
    ::setsockopt(static_cast<int>(listener.socketDescriptor()), SOL_SOCKET,
                 SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    qsizetype received = 0;
    QObject::connect(
        &listener, &QTcpServer::newConnection, &listener,
        [&]
        {
            auto* socket = listener.nextPendingConnection();
            socket->setReadBufferSize(1024);
            QTimer::singleShot(pause_ms, socket,
                               [socket] { socket->setReadBufferSize(0); });
            QObject::connect(socket, &QTcpSocket::readyRead, socket,
                             [&received, &body, socket]
                             {
                                 if (socket->readBufferSize() != 0)
                                 {
                                     return;
                                 }
                                 received += socket->readAll().size();
                                 if (received >
                                     static_cast<qsizetype>(body.size()))
                                 {
                                     socket->write("HTTP/1.1 204 Done\r\n\r\n");
                                 }
                             });
        });
    recorder handler;
    client_options options;
    options.dead_peer_timeout = 1s;
    client target({"127.0.0.1", listener.serverPort()}, options, handler);
    target.start(1, {"PUT", "/", {}, body});
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].first, exchange_result::answered);
    EXPECT_EQ(handler.results[1].second.status, 204U);
}

TEST(http_client, reports_a_refused_connection_as_unreachable)
{
    recorder handler;
    client target(free_endpoint(), {}, 4, handler);
    target.start(1, make_post());
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].first, exchange_result::unreachable);
}

TEST(http_client, probe_tells_whether_a_process_listens)
{
    recorder handler;
    client refused(free_endpoint(), {}, 4, handler);
    refused.probe();
    ASSERT_TRUE(wait_for([&] { return handler.probes.size() == 1; }));
    EXPECT_EQ(handler.probes[0], probe_result::refused);

    scripted_backend backend(
        [](QTcpSocket& socket)
        { socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); });
    client accepted(backend.endpoint(), {}, 4, handler);
    accepted.probe();
    accepted.probe(); // Joins the one in progress.
    ASSERT_TRUE(wait_for([&] { return handler.probes.size() == 2; }));
    EXPECT_EQ(handler.probes[1], probe_result::accepted);
    accepted.start(1, make_post()); // On the connection of the probe.
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].second.body, "ok");
    EXPECT_EQ(accepted.connect_attempts(), 1U);
}

TEST(http_client, opens_one_connection_per_concurrent_request)
{
    scripted_backend backend([](QTcpSocket&) {});
    recorder handler;
    client target(backend.endpoint(), {}, 4, handler);
    for (std::uint64_t i = 1; i <= 24; ++i)
    {
        target.start(i, make_post());
    }
    EXPECT_TRUE(wait_for([&] { return backend.received_requests == 24; }));
    target.cancel(3);
    EXPECT_FALSE(handler.results.contains(3));
}

client_options echo_checking_options()
{
    client_options value;
    value.max_idle_connections = 4;
    value.echo_header = "Request-Id";
    value.close_delimited = true;
    return value;
}

http_request get_with_id(std::string id)
{
    return {"GET", "/", {{"Request-Id", std::move(id)}}, ""};
}

// A delayed response to an earlier request must not be taken for the response
// to the current one.
TEST(http_client, response_to_an_earlier_request_is_skipped)
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
    client target(backend.endpoint(), echo_checking_options(), handler);
    target.start(1, get_with_id("new"));
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].first, exchange_result::answered);
    EXPECT_EQ(handler.results[1].second.body, "new");
    EXPECT_EQ(target.idle_connection_count(), 0U)
        << "responses no longer match requests";
}

// Guards against a late second copy of a response, sent without the id that
// identifies it, being taken for the response to the next request.
TEST(http_client, late_copy_without_id_is_not_the_response_to_the_next_request)
{
    int answered = 0;
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            if (answered++ == 0)
            {
                socket.write("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
                             "Content-Length: 3\r\n\r\none");
                return;
            }
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
                         "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n"
                         "Content-Length: 3\r\n\r\ntwo");
        });
    recorder handler;
    client target(backend.endpoint(), echo_checking_options(), handler);
    target.start(1, get_with_id("1"));
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(target.idle_connection_count(), 1U);
    target.start(2, get_with_id("2"));
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(2); }));
    EXPECT_EQ(handler.results[2].second.body, "two");
    EXPECT_EQ(target.idle_connection_count(), 0U);
    EXPECT_EQ(target.connect_attempts(), 1U);
}

// Not every server echoes ids.
TEST(http_client, responses_of_a_server_that_never_sends_ids_are_accepted)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        { socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); });
    recorder handler;
    client target(backend.endpoint(), echo_checking_options(), handler);
    for (std::uint64_t i = 1; i <= 2; ++i)
    {
        target.start(i, get_with_id("1"));
        ASSERT_TRUE(wait_for([&] { return handler.results.contains(i); }));
        EXPECT_EQ(handler.results[i].first, exchange_result::answered);
    }
    EXPECT_EQ(target.connect_attempts(), 1U);
}

// Guards against a refusal that a server writes a second time being taken for
// the response to the next request, which the server runs.
TEST(http_client, repeated_refusal_is_not_the_response_to_the_next_request)
{
    const QByteArray refusals[] = {
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: 1\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    for (const auto& refusal : refusals)
    {
        const QTcpSocket* refused = nullptr;
        scripted_backend backend(
            [&](QTcpSocket& socket)
            {
                const bool first = refused == nullptr;
                if (first || refused == &socket)
                {
                    refused = &socket;
                    socket.write(refusal);
                }
                if (!first)
                {
                    socket.write("HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n"
                                 "Content-Length: 3\r\n\r\ntwo");
                }
            });
        recorder handler;
        client target(backend.endpoint(), echo_checking_options(), handler);
        target.start(1, get_with_id("1"));
        ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
        EXPECT_EQ(handler.results[1].second.status, 503U);
        target.start(2, get_with_id("2"));
        ASSERT_TRUE(wait_for([&] { return handler.results.contains(2); }));
        EXPECT_EQ(handler.results[2].second.body, "two")
            << refusal.toStdString();
    }
}

// The same when the second copy arrives while no request is in progress.
TEST(http_client, refusal_repeated_on_an_idle_connection_closes_it)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            const QByteArray refusal =
                "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: 1\r\n"
                "Content-Length: 0\r\n\r\n";
            socket.write(refusal);
            QTimer::singleShot(20, &socket,
                               [&socket, refusal] { socket.write(refusal); });
        });
    recorder handler;
    client target(backend.endpoint(), echo_checking_options(), handler);
    target.start(1, get_with_id("1"));
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(target.idle_connection_count(), 1U);
    EXPECT_TRUE(wait_for([&] { return target.idle_connection_count() == 0; }));
}

// Guards against a response whose head breaks off being passed on as a whole
// one with an empty or short body.
TEST(http_client, response_that_breaks_off_within_its_head_is_a_failure)
{
    const QByteArray heads[] = {
        "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 600\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: "
        "chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nConnection: close\r\n\r\n"};
    for (const auto& head : heads)
    {
        qsizetype length = 0;
        scripted_backend backend(
            [&](QTcpSocket& socket)
            {
                socket.write(head.first(length));
                socket.disconnectFromHost();
            });
        recorder handler;
        client target(backend.endpoint(), echo_checking_options(), handler);
        for (; length < head.size(); ++length)
        {
            const auto id = static_cast<std::uint64_t>(length) + 1;
            target.start(id, get_with_id("1"));
            ASSERT_TRUE(wait_for([&] { return handler.results.contains(id); }));
            EXPECT_EQ(handler.results[id].first, exchange_result::failed)
                << head.first(length).toStdString();
        }
    }
}

TEST(http_client, last_response_to_an_earlier_request_is_a_failure)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write("HTTP/1.1 200 OK\r\nRequest-Id: old\r\n"
                         "Connection: close\r\nContent-Length: 3\r\n\r\nold");
            socket.disconnectFromHost();
        });
    recorder handler;
    client target(backend.endpoint(), echo_checking_options(), handler);
    target.start(1, get_with_id("new"));
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].first, exchange_result::failed);
}

TEST(http_client, accepts_a_body_delimited_by_an_orderly_close)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write("HTTP/1.1 200 OK\r\n\r\nwhole body");
            socket.disconnectFromHost();
        });
    recorder handler;
    client target(backend.endpoint(), echo_checking_options(), handler);
    target.start(1, get_with_id("1"));
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].first, exchange_result::answered);
    EXPECT_EQ(handler.results[1].second.body, "whole body");
}

// A connection that is reset within a body without a length leaves the body
// truncated.
TEST(http_client, reset_within_a_close_delimited_body_is_a_failure)
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
    client target(backend.endpoint(), echo_checking_options(), handler);
    target.start(1, get_with_id("1"));
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].first, exchange_result::failed);
}

// A burst of requests leaves hundreds of idle connections to the backend server
// behind. Each kept 32 KiB of buffers. At most 24 MB may be in use with 2,000
// connections, here half of them of the server.
TEST(http_client, idle_connections_hold_no_buffers)
{
    constexpr std::size_t connection_count = 200;
    constexpr std::size_t max_bytes = 24'000; // of both ends of a connection
    recorder handler;
    const auto address = free_endpoint();
    config::resource_limits limits;
    limits.max_connections = connection_count;
    server backend(limits, handler);
    ASSERT_TRUE(backend.listen(address).ok());
    client_options options;
    options.max_idle_connections = connection_count;
    client target(address, options, handler);
    const auto used_before = ::mallinfo2().uordblks;
    for (std::uint64_t i = 1; i <= connection_count; ++i)
    {
        target.start(i, make_post());
        ASSERT_TRUE(wait_for([&] { return handler.requests.contains(i); }));
        handler.requests[i] = {};
    }
    for (std::uint64_t i = 1; i <= connection_count; ++i)
    {
        backend.respond(i, {200, {}, "body"});
    }
    ASSERT_TRUE(
        wait_for([&] { return handler.results.size() == connection_count; }));
    EXPECT_EQ(target.idle_connection_count(), connection_count);
    EXPECT_LT((::mallinfo2().uordblks - used_before) / connection_count,
              max_bytes);
}

TEST(http_client, idle_connection_is_not_reused_after_the_announced_time)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        {
            socket.write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                         "Content-Length: 2\r\n\r\nok");
        });
    recorder handler;
    client target(backend.endpoint(), echo_checking_options(), handler);
    for (std::uint64_t i = 1; i <= 2; ++i)
    {
        target.start(i, get_with_id("1"));
        ASSERT_TRUE(wait_for([&] { return handler.results.contains(i); }));
    }
    EXPECT_EQ(target.connect_attempts(), 2U);
}

// A server may drop idle connections earlier than announced and reset them at
// the next request.
TEST(http_client, non_idempotent_request_uses_recently_active_connections_only)
{
    scripted_backend backend(
        [&](QTcpSocket& socket)
        { socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); });
    recorder handler;
    auto options = echo_checking_options();
    options.idle_timeout = 5s;
    options.non_idempotent_idle_timeout = 100ms;
    client target(backend.endpoint(), options, handler);
    const auto run_exchange = [&](std::uint64_t id, bool idempotent)
    {
        auto request = get_with_id("1");
        request.idempotent = idempotent;
        target.start(id, request);
        EXPECT_TRUE(wait_for([&] { return handler.results.contains(id); }));
    };
    run_exchange(1, false);
    run_exchange(2, false);
    EXPECT_EQ(target.connect_attempts(), 1U) << "was active recently";
    wait_for([] { return false; }, 150);
    run_exchange(3, true);
    EXPECT_EQ(target.connect_attempts(), 1U) << "may be repeated";
    wait_for([] { return false; }, 150);
    run_exchange(4, false);
    EXPECT_EQ(target.connect_attempts(), 2U);
}

// A server may respond before it has read a long body, and then continue to
// read it.
TEST(http_client, connection_with_an_unsent_body_is_not_reused)
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
    client target(backend.endpoint(), echo_checking_options(), handler);
    target.start(1, {"POST", "/", {}, std::string(32U << 20U, 'x')});
    ASSERT_TRUE(wait_for([&] { return handler.results.contains(1); }));
    EXPECT_EQ(handler.results[1].second.status, 413U);
    EXPECT_EQ(target.idle_connection_count(), 0U);
}

// An unresponsive server neither accepts nor refuses connections.
TEST(http_client, connection_that_does_not_open_in_time_is_unreachable)
{
    // With the listen backlog full, the kernel drops further SYN packets.
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
    auto options = echo_checking_options();
    options.connect_timeout = 250ms;
    client target(endpoint, options, handler);
    target.start(1, get_with_id("1"));
    EXPECT_TRUE(wait_for([&] { return handler.results.contains(1); }, 600));
    EXPECT_EQ(handler.results[1].first, exchange_result::unreachable);
    close(listener);
}

// A backend server that sends a first part and then repeats another part until
// the connection is closed.
class endless_backend
{
public:
    endless_backend(QByteArray first, QByteArray repeated)
        : backend_(
              [this, first = std::move(first),
               repeated = std::move(repeated)](QTcpSocket& socket)
              {
                  socket.write(first);
                  const auto send_more = [this, &socket, repeated]
                  {
                      if (socket.bytesToWrite() < repeated.size())
                      {
                          sent_bytes += repeated.size();
                          socket.write(repeated);
                      }
                  };
                  QObject::connect(&socket, &QTcpSocket::bytesWritten, &socket,
                                   send_more);
                  send_more();
              })
    {
    }

    [[nodiscard]] config::endpoint endpoint() const
    {
        return backend_.endpoint();
    }

    qsizetype sent_bytes{0};

private:
    scripted_backend backend_;
};

struct endless_case
{
    const char* name;
    QByteArray first;
    QByteArray repeated;
};

std::vector<endless_case> endless_cases()
{
    const QByteArray status = "HTTP/1.1 200 OK\r\n";
    const QByteArray chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
    const QByteArray block(16384, 'x');
    return {
        {"start_line", "", block},
        {"header_line", status + "Name: ", block},
        {"header_lines", status, QByteArray("Name: value\r\n").repeated(1000)},
        {"interim_responses", "",
         QByteArray("HTTP/1.1 102 Processing\r\n\r\n").repeated(600)},
        {"body_until_close", status + "\r\n", block},
        {"chunks", chunked, "4000\r\n" + block + "\r\n"},
        {"chunk_size", chunked, QByteArray(16384, '0')},
        {"chunk_extension", chunked + "5;name=", block},
        {"trailer_line", chunked + "0\r\nName: ", block},
        {"trailer_lines", chunked + "0\r\n",
         QByteArray("Name: value\r\n").repeated(1000)},
        {"earlier_responses", "",
         QByteArray("HTTP/1.1 200 OK\r\nRequest-Id: old\r\n"
                    "Content-Length: 3\r\n\r\nold")
             .repeated(250)},
    };
}

// Guards against a server that sends bytes without end: they must neither fill
// the memory of the node nor keep the exchange open until its deadline.
TEST(http_client, response_without_end_fails_and_closes_the_connection)
{
    for (const auto& item : endless_cases())
    {
        endless_backend backend(item.first, item.repeated);
        recorder handler;
        auto options = echo_checking_options();
        options.limits = {16U << 10U, 256U << 10U};
        client target(backend.endpoint(), options, handler);
        target.start(1, get_with_id("new"));
        EXPECT_TRUE(wait_for([&] { return handler.results.contains(1); }, 3000))
            << item.name;
        EXPECT_EQ(handler.results[1].first, exchange_result::failed)
            << item.name;
        EXPECT_EQ(target.idle_connection_count(), 0U) << item.name;
        // What the sockets buffer comes on top of the limits.
        EXPECT_LT(backend.sent_bytes, 16 << 20) << item.name;
    }
}

// Many such servers' responses at once exceed the memory of the node although
// each of them keeps to the limit of a body.
TEST(http_client, responses_in_progress_are_bounded_together)
{
    endless_backend backend("HTTP/1.1 200 OK\r\n\r\n", QByteArray(16384, 'x'));
    recorder handler;
    auto options = echo_checking_options();
    options.limits = {16U << 10U, 64U << 20U};
    options.max_buffered_bytes = 4U << 20U;
    client target(backend.endpoint(), options, handler);
    constexpr std::uint64_t exchanges = 20;
    std::size_t most = 0;
    for (std::uint64_t i = 1; i <= exchanges; ++i)
    {
        target.start(i, get_with_id("new"));
    }
    EXPECT_TRUE(wait_for(
        [&]
        {
            most = std::max(most, target.buffered_bytes());
            return handler.results.size() == exchanges;
        },
        5000));
    EXPECT_LE(most, (4U << 20U) + (1U << 20U));
    EXPECT_EQ(target.buffered_bytes(), 0U);
}

} // namespace
} // namespace jujubespan::http
