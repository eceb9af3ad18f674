// Tests of the HTTP server over real sockets: complete messages, limits and
// order of responses.

#include "jujubespan/http/server.hpp"

#include "jujubespan/http/recorder_testing.hpp"
#include "jujubespan/http/testing.hpp"

#include <gtest/gtest.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <functional>
#include <malloc.h>
#include <map>
#include <netinet/in.h>
#include <set>
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

    // Connects a socket that is not part of the event loop.
    [[nodiscard]] int open_raw_connection() const
    {
        const int client = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.port);
        EXPECT_EQ(::inet_pton(AF_INET, address.host.c_str(), &to.sin_addr), 1);
        EXPECT_EQ(::connect(client, reinterpret_cast<const sockaddr*>(&to),
                            sizeof to),
                  0);
        return client;
    }

    static QByteArray read_until_closed(QTcpSocket& socket)
    {
        wait_for(
            [&]
            { return socket.state() == QAbstractSocket::UnconnectedState; });
        return socket.readAll();
    }

    config::resource_limits limits;
    recorder handler;
    config::endpoint address{free_endpoint()};
    std::unique_ptr<server> target;
};

TEST_F(http_server, answers_pipelined_requests_in_order)
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

TEST_F(http_server, reports_a_client_that_disconnects_before_the_response)
{
    auto socket = connect("GET /1 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 1; }));
    socket->abort();
    ASSERT_TRUE(wait_for([&] { return handler.disconnected.size() == 1; }));
    target->respond(1, {200, {}, "late"});
    EXPECT_EQ(target->connection_count(), 0U);
}

TEST_F(http_server, incomplete_request_times_out)
{
    auto socket = connect("POST /1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
    const auto response = read_until_closed(*socket);
    EXPECT_TRUE(response.startsWith("HTTP/1.1 408")) << response.toStdString();
    EXPECT_TRUE(handler.requests.empty());
}

TEST_F(http_server, rejections_name_the_exceeded_limit)
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
        const auto response = read_until_closed(*socket);
        EXPECT_TRUE(response.startsWith(QByteArray("HTTP/1.1 ") + status))
            << response.toStdString();
        EXPECT_TRUE(response.contains("\"reason\"")) << response.toStdString();
    }
    EXPECT_TRUE(handler.requests.empty());
}

TEST_F(http_server, number_of_connections_is_limited)
{
    std::vector<std::unique_ptr<QTcpSocket>> open_connections;
    open_connections.reserve(3);
    for (int i = 0; i < 3; ++i)
    {
        open_connections.push_back(connect("GET /1 HTTP/1.1\r\n\r\n"));
    }
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 3; }));
    auto extra = connect("GET /1 HTTP/1.1\r\n\r\n");
    const auto response = read_until_closed(*extra);
    EXPECT_TRUE(response.contains("max-connections")) << response.toStdString();
}

TEST_F(http_server, size_of_all_unanswered_requests_is_limited)
{
    limits.max_buffered_bytes = 5000;
    limits.max_connections = 10;
    server bounded(limits, handler);
    address = free_endpoint();
    ASSERT_TRUE(bounded.listen(address).ok());
    const QByteArray request =
        "POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" +
        QByteArray(3000, 'x');
    auto first = connect(request);
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 1; }));
    auto second = connect(request.first(2900));
    const auto response = read_until_closed(*second);
    EXPECT_TRUE(response.contains("max-buffered-bytes"))
        << response.toStdString();
    bounded.respond(1, {200, {}, "ok"});
    auto third = connect(request);
    EXPECT_TRUE(wait_for([&] { return handler.requests.size() == 2; }));
}

// Room is left for others only while there are others.
TEST_F(http_server, single_request_may_take_all_memory)
{
    limits.max_buffered_bytes = 5000;
    limits.max_body_bytes = 5000;
    server bounded(limits, handler);
    address = free_endpoint();
    ASSERT_TRUE(bounded.listen(address).ok());
    auto client = connect("POST / HTTP/1.1\r\nContent-Length: 4500\r\n\r\n" +
                          QByteArray(4500, 'x'));
    EXPECT_TRUE(wait_for([&] { return handler.requests.size() == 1; }));
}

// Unsent responses were not counted, so that slow clients could use up the
// memory of the process.
TEST_F(http_server, longest_unread_response_makes_room_for_others)
{
    limits.max_buffered_bytes = 8U << 20U;
    limits.max_connections = 10;
    server bounded(limits, handler);
    address = free_endpoint();
    ASSERT_TRUE(bounded.listen(address).ok());
    const std::string body(6U << 20U, 'x');
    std::vector<int> clients;
    for (std::size_t i = 1; i <= 8; ++i)
    {
        clients.push_back(open_raw_connection());
        ::send(clients.back(), "GET / HTTP/1.1\r\n\r\n", 18, 0);
        ASSERT_TRUE(wait_for([&] { return handler.requests.size() == i; }));
        bounded.respond(i, {200, {}, body});
        EXPECT_LE(bounded.buffered_bytes(), limits.max_buffered_bytes);
    }
    EXPECT_LT(bounded.connection_count(), 8U);
    auto reader = connect("GET / HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 9; }));
    bounded.respond(9, {200, {}, body});
    EXPECT_TRUE(wait_for(
        [&] { return reader->bytesAvailable() > qint64(body.size()); }));
    for (const int client : clients)
    {
        ::close(client);
    }
}

// A server that closes a connection with unread data resets it, and the client
// may lose the rejection.
TEST_F(http_server, client_that_is_still_sending_receives_the_rejection)
{
    for (const QByteArray& header :
         {QByteArray("Content-Length: 8000000\r\n"),
          QByteArray("Transfer-Encoding: chunked\r\n")})
    {
        QByteArray body(8'000'000, 'x');
        if (header.contains("chunked"))
        {
            body.prepend("7a1200\r\n").append("\r\n0\r\n\r\n");
        }
        auto socket = connect("POST / HTTP/1.1\r\n" + header + "\r\n" + body);
        const auto response = read_until_closed(*socket);
        EXPECT_TRUE(response.startsWith("HTTP/1.1 413"))
            << header.toStdString() << response.toStdString();
        EXPECT_EQ(socket->error(), QAbstractSocket::RemoteHostClosedError);
    }
    EXPECT_TRUE(handler.requests.empty());
    EXPECT_EQ(target->buffered_bytes(), 0U);
}

// A raw socket, since QTcpSocket closes itself once the server has.
TEST_F(http_server, connection_of_a_client_that_goes_on_sending_is_closed)
{
    const int client = open_raw_connection();
    const QByteArray header =
        "POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n";
    ::send(client, header.data(), static_cast<std::size_t>(header.size()), 0);
    QTimer sender;
    QObject::connect(&sender, &QTimer::timeout,
                     [client]
                     { ::send(client, "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT); });
    sender.start(20);
    EXPECT_TRUE(wait_for([&] { return target->connection_count() == 1; }));
    EXPECT_TRUE(
        wait_for([&] { return target->connection_count() == 0; }, 4000));
    ::close(client);
}

// The response or rejection is written after the client has reset the
// connection, and before the server was notified of that. The write fails and
// destroys the connection.
TEST_F(http_server, response_to_a_client_that_reset_its_connection)
{
    for (const char* request : {"GET / HTTP/1.1\r\n\r\n",
                                "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"})
    {
        handler.requests.clear();
        const int client = open_raw_connection();
        ::send(client, request, std::strlen(request), 0);
        ASSERT_TRUE(wait_for([&] { return !handler.requests.empty(); }));
        const linger reset{1, 0};
        ::setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::close(client);
        target->respond(handler.requests.begin()->first, {200, {}, "ok"});
        EXPECT_TRUE(wait_for([&] { return target->connection_count() == 0; }));
    }
}

// Requests of a client whose body ends early, pauses or is damaged.
TEST_F(http_server, incomplete_body_is_never_passed_on)
{
    const std::array<QByteArray, 4> requests{
        "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nshort",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc"};
    for (const auto& request : requests)
    {
        auto closing = connect(request);
        ASSERT_TRUE(wait_for([&] { return closing->bytesToWrite() == 0; }));
        closing->close();
        auto pausing = connect(request);
        const auto response = read_until_closed(*pausing);
        EXPECT_TRUE(response.startsWith("HTTP/1.1 4")) << request.toStdString();
    }
    EXPECT_TRUE(handler.requests.empty());
    EXPECT_EQ(target->buffered_bytes(), 0U);
}

TEST_F(http_server, bytes_beyond_the_body_belong_to_the_next_request)
{
    auto socket = connect(
        "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGARBAGE\r\n\r\n");
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 1; }));
    EXPECT_EQ(handler.requests.begin()->second.body, "abc");
    target->respond(handler.requests.begin()->first, {200, {}, "ok"});
    const auto responses = read_until_closed(*socket);
    EXPECT_TRUE(responses.contains("HTTP/1.1 400")) << responses.toStdString();
    EXPECT_EQ(handler.requests.size(), 1U);
}

TEST_F(http_server, body_of_a_client_that_leaves_is_released)
{
    auto socket = connect("POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" +
                          QByteArray(2000, 'x'));
    ASSERT_TRUE(wait_for([&] { return target->buffered_bytes() > 2000; }));
    socket->abort();
    EXPECT_TRUE(wait_for([&] { return target->buffered_bytes() == 0; }));
}

TEST_F(http_server, receives_a_body_in_parts_after_100_continue)
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
            return handler.requests.size() == 1 &&
                   target->connection_count() == 2;
        }));
    target->begin_drain();
    read_until_closed(*idle);
    target->respond(1, {200, {}, "whole"});
    const auto response = read_until_closed(*busy);
    EXPECT_TRUE(response.contains("whole"));
    EXPECT_TRUE(response.contains("Connection: close"));
}

// Clients that come in a burst leave hundreds of idle connections behind. Each
// kept 28 KiB of buffers, so that a node at its peak took 48 MB. At most 24 MB
// may be in use with 2,000 connections.
TEST_F(http_server, idle_connections_hold_no_buffers)
{
    constexpr std::size_t connection_count = 200;
    constexpr std::size_t max_bytes = 12'000; // of a connection
    // Qt buffers what is shorter than 4 KiB in another way.
    constexpr std::size_t body_bytes = 6000;
    constexpr std::size_t short_body_bytes = 600;
    limits.max_connections = connection_count;
    limits.max_body_bytes = body_bytes;
    target->set_limits(limits);
    const auto used_before = ::mallinfo2().uordblks;
    const std::string request =
        "POST /1 HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
        "\r\n\r\n" + std::string(body_bytes, 'x');
    std::vector<int> clients;
    for (std::uint64_t i = 1; i <= connection_count; ++i)
    {
        clients.push_back(open_raw_connection());
        ASSERT_EQ(::send(clients.back(), request.data(), request.size(), 0),
                  static_cast<ssize_t>(request.size()));
        ASSERT_TRUE(wait_for([&] { return handler.requests.contains(i); }));
        target->respond(
            i, {200,
                {},
                std::string(i % 2 == 0 ? body_bytes : short_body_bytes, 'y')});
        handler.requests[i] = {};
    }
    EXPECT_EQ(target->connection_count(), connection_count);
    EXPECT_LT((::mallinfo2().uordblks - used_before) / connection_count,
              max_bytes);
    for (const int client : clients)
    {
        ::close(client);
    }
}

TEST_F(http_server, destruction_reports_unanswered_requests)
{
    auto first = connect("GET /1 HTTP/1.1\r\n\r\n");
    auto second = connect("GET /2 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(wait_for([&] { return handler.requests.size() == 2; }));
    target.reset();
    EXPECT_EQ(handler.disconnected.size(), 2U);
}

// Guards against two servers of one test that are given the same address.
TEST(free_endpoint, differs_from_all_earlier_ones)
{
    constexpr std::size_t count = 1000;
    std::set<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i)
    {
        ports.insert(free_endpoint().port);
    }
    EXPECT_EQ(ports.size(), count);
}

} // namespace
} // namespace jujubespan::http
