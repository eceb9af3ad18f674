// The HTTP faces on real sockets: whole messages, bounds and order.

#include "jujubespan/http/client.hpp"
#include "jujubespan/http/server.hpp"

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

using testing::app;
using testing::free_endpoint;
using testing::wait_for;

class recorder final : public request_handler, public response_handler
{
public:
    void on_request(std::uint64_t exchange, http_request request) override
    {
        requests[exchange] = std::move(request);
    }
    void on_gone(std::uint64_t exchange) override { gone.push_back(exchange); }
    void on_end(std::uint64_t exchange, client_end end,
                http_response response) override
    {
        ends[exchange] = {end, std::move(response)};
    }

    std::map<std::uint64_t, http_request> requests;
    std::vector<std::uint64_t> gone;
    std::map<std::uint64_t, std::pair<client_end, http_response>> ends;
};

class http_server : public ::testing::Test
{
protected:
    http_server()
    {
        limits.max_header_bytes = 2048;
        limits.max_body_bytes = 4096;
        limits.max_connections = 3;
        limits.receive_timeout = 300ms;
        target = std::make_unique<server>(limits, handler);
        EXPECT_TRUE(target->listen(address).ok());
    }

    std::unique_ptr<QTcpSocket> connect(const QByteArray& bytes)
    {
        auto socket = std::make_unique<QTcpSocket>();
        socket->connectToHost(QString::fromStdString(address.host),
                              address.port);
        socket->write(bytes);
        return socket;
    }

    static QByteArray read_until_closed(QTcpSocket& socket)
    {
        wait_for(
            [&]
            { return socket.state() == QAbstractSocket::UnconnectedState; });
        return socket.readAll();
    }

    config::bounds limits;
    recorder handler;
    config::endpoint address{free_endpoint()};
    std::unique_ptr<server> target;
};

TEST_F(http_server, pipelined_requests_are_answered_in_order)
{
    auto socket = connect("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 1; }));
    EXPECT_EQ(handler.requests[1].target, "/1");
    target->respond(1, {200, {}, "first"});
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 2; }));
    target->respond(2, {200, {}, "second"});
    QByteArray received;
    ASSERT_TRUE(wait_for(
        [&]
        {
            received += socket->readAll();
            return received.contains("second");
        }));
    EXPECT_LT(received.indexOf("first"), received.indexOf("second"));
}

TEST_F(http_server, caller_gone_before_the_answer)
{
    auto socket = connect("GET /1 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 1; }));
    socket->abort();
    ASSERT_TRUE(wait_for([&] { return handler.gone.size() == 1; }));
    target->respond(1, {200, {}, "late"});
    EXPECT_EQ(target->connections(), 0U);
}

TEST_F(http_server, half_a_request_then_silence)
{
    auto socket = connect("POST /1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
    const auto answer = read_until_closed(*socket);
    EXPECT_TRUE(answer.startsWith("HTTP/1.1 408")) << answer.toStdString();
    EXPECT_TRUE(handler.requests.empty());
}

TEST_F(http_server, bounds_are_named)
{
    const std::pair<QByteArray, const char*> cases[] = {
        {"GET / HTTP/1.1\r\nX: " + QByteArray(3000, 'x') + "\r\n\r\n", "431"},
        {"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "413"},
        {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
         "400"},
        {"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
         "Transfer-Encoding: chunked\r\n\r\n",
         "400"},
        {"nonsense\r\n\r\n", "400"}};
    for (const auto& [bytes, status] : cases)
    {
        auto socket = connect(bytes);
        const auto answer = read_until_closed(*socket);
        EXPECT_TRUE(answer.startsWith(QByteArray("HTTP/1.1 ") + status))
            << answer.toStdString();
        EXPECT_TRUE(answer.contains("\"reason\"")) << answer.toStdString();
    }
    EXPECT_TRUE(handler.requests.empty());
}

TEST_F(http_server, connections_are_bounded)
{
    std::vector<std::unique_ptr<QTcpSocket>> held;
    held.reserve(3);
    for (int i = 0; i < 3; ++i)
    {
        held.push_back(connect("GET /1 HTTP/1.1\r\n\r\n"));
    }
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 3; }));
    auto extra = connect("GET /1 HTTP/1.1\r\n\r\n");
    const auto answer = read_until_closed(*extra);
    EXPECT_TRUE(answer.contains("max-connections")) << answer.toStdString();
}

TEST_F(http_server, bytes_of_all_unanswered_requests_are_bounded)
{
    limits.max_buffered_bytes = 5000;
    limits.max_connections = 10;
    server bounded(limits, handler);
    address = free_endpoint();
    ASSERT_TRUE(bounded.listen(address).ok());
    const QByteArray whole = "POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" +
                             QByteArray(3000, 'x');
    auto first = connect(whole);
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 1; }));
    auto second = connect(whole.first(2900));
    const auto answer = read_until_closed(*second);
    EXPECT_TRUE(answer.contains("max-buffered-bytes")) << answer.toStdString();
    bounded.respond(1, {200, {}, "ok"});
    auto third = connect(whole);
    EXPECT_TRUE(wait_for([&] { return handler.requests.size() == 2; }));
}

TEST_F(http_server, a_body_in_pieces_and_100_continue)
{
    auto socket = connect("POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
                          "Content-Length: 4\r\n\r\n");
    ASSERT_TRUE(wait_for([&] { return socket->bytesAvailable() > 0; }));
    EXPECT_TRUE(socket->readAll().contains("100 Continue"));
    socket->write("ab");
    socket->flush();
    QCoreApplication::processEvents();
    socket->write("cd");
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 1; }));
    EXPECT_EQ(handler.requests[1].body, "abcd");
}

TEST_F(http_server, drain_closes_idle_connections_only)
{
    auto idle = connect("");
    auto busy = connect("GET /1 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(wait_for(
        [&] {
            return handler.requests.size() == 1 && target->connections() == 2;
        }));
    target->begin_drain();
    read_until_closed(*idle);
    target->respond(1, {200, {}, "whole"});
    const auto answer = read_until_closed(*busy);
    EXPECT_TRUE(answer.contains("whole"));
    EXPECT_TRUE(answer.contains("Connection: close"));
}

TEST_F(http_server, ends_while_requests_wait_for_their_answers)
{
    auto first = connect("GET /1 HTTP/1.1\r\n\r\n");
    auto second = connect("GET /2 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 2; }));
    target.reset();
    EXPECT_EQ(handler.gone.size(), 2U);
}

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
        request.repeatable = repeatable;
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
