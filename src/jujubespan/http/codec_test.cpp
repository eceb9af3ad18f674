// Tests of the HTTP codec with damaged and unusual messages. An exception from
// it would end the process.

#include "jujubespan/http/codec.hpp"

#include "jujubespan/policy/mutation_testing.hpp"

#include <gtest/gtest.h>

namespace jujubespan::http
{
namespace
{

using jujubespan::testing::mutations_per_message;
using jujubespan::testing::mutator;

constexpr message_limits limits{4U << 10U, 64U << 10U};

const std::vector<std::string> requests{
    "GET /a/1?x=2 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 1\r\n\r\n",
    "POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
    "PUT /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4;x=y\r\nbody\r\n0\r\nTrailer: 1\r\n\r\n",
    "TRACE /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
};

const std::vector<std::string> responses{
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=5\r\n\r\nbody",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nuntil close",
    "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
    "0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
};

// Every request that is accepted is also sent on to a backend server.
TEST(http_codec, damaged_requests_are_parsed_or_rejected)
{
    mutator mutate(1);
    std::size_t complete = 0;
    for (const auto& original : requests)
    {
        for (int i = 0; i < mutations_per_message; ++i)
        {
            request_parser parser(limits);
            auto bytes = QByteArray::fromStdString(mutate(original));
            if (parser.parse(bytes) == parse_state::complete)
            {
                ++complete;
                const auto request = parser.take_message();
                EXPECT_FALSE(serialize(request).isEmpty());
            }
        }
    }
    EXPECT_GT(complete, 100U);
}

// Every response that is accepted is also sent on to a client.
TEST(http_codec, damaged_responses_are_parsed_or_rejected)
{
    mutator mutate(2);
    std::size_t complete = 0;
    for (const auto& original : responses)
    {
        for (int i = 0; i < mutations_per_message; ++i)
        {
            response_parser parser(limits, false, true);
            auto bytes = QByteArray::fromStdString(mutate(original));
            auto state = parser.parse(bytes);
            if (state == parse_state::incomplete)
            {
                state = parser.on_close();
            }
            if (state == parse_state::complete)
            {
                ++complete;
                const auto response = parser.take_message();
                EXPECT_FALSE(serialize(response, true, false).isEmpty());
            }
        }
    }
    EXPECT_GT(complete, 100U);
}

// Guards against a request with an unusual method taking the node down.
TEST(http_codec, request_of_any_method_with_a_body_is_serialized)
{
    for (const auto* method : {"TRACE", "GET", "DELETE", "BREW"})
    {
        const auto bytes = serialize({method, "/", {{"Host", "a"}}, "body"});
        EXPECT_TRUE(bytes.contains("Content-Length: 4")) << method;
        EXPECT_TRUE(bytes.endsWith("\r\n\r\nbody")) << method;
    }
    EXPECT_FALSE(serialize({"TRACE", "/", {}, ""}).contains("Content-Length"));
    EXPECT_TRUE(serialize({"POST", "/", {}, ""}).contains("Content-Length: 0"));
}

// Guards against a message that announces more than there is memory.
TEST(http_codec, announced_length_beyond_the_limit_reserves_no_memory)
{
    const std::string header = "Content-Length: 4999999999999999\r\n\r\n";
    request_parser request(limits);
    auto bytes = QByteArray::fromStdString("POST / HTTP/1.1\r\n" + header);
    EXPECT_EQ(request.parse(bytes), parse_state::body_too_large);
    response_parser response(limits, false);
    bytes = QByteArray::fromStdString("HTTP/1.1 200 OK\r\n" + header + "body");
    EXPECT_EQ(response.parse(bytes), parse_state::body_too_large);
    response_parser head_response(limits, true);
    bytes = QByteArray::fromStdString("HTTP/1.1 200 OK\r\n" + header);
    EXPECT_EQ(head_response.parse(bytes), parse_state::complete)
        << "without a body";
}

// The library holds the length of a header field in 16 bits.
TEST(http_codec, header_beyond_the_limit_of_the_library_is_too_large)
{
    constexpr message_limits large{1U << 20U, 1U << 20U};
    const auto value = std::string(100'000, 'x');
    request_parser request(large);
    auto bytes = QByteArray::fromStdString("GET / HTTP/1.1\r\nName: " + value +
                                           "\r\n\r\n");
    EXPECT_EQ(request.parse(bytes), parse_state::header_too_large);
    response_parser response(large, false);
    bytes = QByteArray::fromStdString("HTTP/1.1 200 OK\r\nName: " + value +
                                      "\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(response.parse(bytes), parse_state::header_too_large);
}

// Parses a message that is received in two parts.
template <typename Parser>
parse_state parse_in_parts(Parser& parser, const std::string& message,
                           std::size_t first_part)
{
    auto bytes = QByteArray::fromStdString(message.substr(0, first_part));
    const auto state = parser.parse(bytes);
    if (state != parse_state::incomplete)
    {
        return state;
    }
    bytes.append(QByteArray::fromStdString(message.substr(first_part)));
    return parser.parse(bytes);
}

// Guards against heads that stall before their end, whose fields are held
// without being counted.
TEST(http_codec, fields_of_an_incomplete_head_are_counted)
{
    constexpr std::size_t count = 1000;
    constexpr std::size_t min_bytes_per_field = 64;
    const auto fields = QByteArray("a:\r\n").repeated(count);
    request_parser requests{message_limits{}};
    QByteArray request = "GET / HTTP/1.1\r\n" + fields;
    EXPECT_EQ(requests.parse(request), parse_state::incomplete);
    EXPECT_GE(requests.field_memory(), count * min_bytes_per_field);
    response_parser responses{message_limits{}, false};
    QByteArray response = "HTTP/1.1 200 OK\r\n" + fields;
    EXPECT_EQ(responses.parse(response), parse_state::incomplete);
    EXPECT_GE(responses.field_memory(), count * min_bytes_per_field);
}

// Guards against a trailer that is received as a whole escaping the limit: the
// library throws at a field that it cannot hold.
TEST(http_codec, trailer_beyond_the_limit_is_malformed)
{
    constexpr message_limits large{1U << 20U, 1U << 20U};
    const std::string head =
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
    const auto parse = [&](const std::string& trailer, bool in_parts)
    {
        const auto rest = head + trailer + "\r\n\r\n";
        request_parser request(large);
        response_parser response(large, false);
        const auto part = in_parts ? rest.size() : std::string::npos;
        const auto state =
            parse_in_parts(response, "HTTP/1.1 200 OK\r\n" + rest, part);
        EXPECT_EQ(parse_in_parts(request, "PUT / HTTP/1.1\r\n" + rest, part),
                  state);
        return state;
    };
    for (const bool in_parts : {false, true})
    {
        for (const std::size_t size :
             {65'533U, 65'534U, 65'535U, 65'536U, 70'000U, 200'000U})
        {
            const std::string text(size, 'x');
            EXPECT_EQ(parse("Name: " + text, in_parts), parse_state::malformed)
                << size;
            EXPECT_EQ(parse(text + ": value", in_parts), parse_state::malformed)
                << size;
        }
        EXPECT_EQ(parse("Name: " + std::string(60'000, 'x'), in_parts),
                  parse_state::complete);
    }
}

bool is_rejected(parse_state state)
{
    return state != parse_state::incomplete && state != parse_state::complete;
}

// Guards against the same for parts that the library reads at once: a chunk
// extension, and a field value that continues on further lines.
TEST(http_codec, overlong_part_of_a_message_is_not_accepted)
{
    constexpr message_limits large{1U << 20U, 1U << 20U};
    const std::string text(70'000, 'x');
    for (const auto& rest :
         {"Transfer-Encoding: chunked\r\n\r\n4;" + text + "\r\nbody",
          "Transfer-Encoding: chunked\r\n\r\n4;a=\"" + text + "\"\r\nbody",
          "Name: a\r\n " + text + "\r\n\r\n",
          "Name: a\r\n " + std::string(20'000, 'y') + "\r\n\r\n"})
    {
        request_parser request(large);
        auto bytes = QByteArray::fromStdString("PUT / HTTP/1.1\r\n" + rest);
        EXPECT_TRUE(is_rejected(request.parse(bytes)));
        response_parser response(large, false);
        bytes = QByteArray::fromStdString("HTTP/1.1 200 OK\r\n" + rest);
        EXPECT_TRUE(is_rejected(response.parse(bytes)));
    }
}

// Guards against a limit on the parts of a message limiting its body.
TEST(http_codec, body_larger_than_the_header_limit_is_complete)
{
    constexpr message_limits small_header{4U << 10U, 1U << 20U};
    const std::string body(300'000, 'x');
    request_parser request(small_header);
    auto bytes = QByteArray::fromStdString(
        "PUT / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" + body + "GET");
    ASSERT_EQ(request.parse(bytes), parse_state::complete);
    EXPECT_EQ(request.take_message().body, body);
    EXPECT_EQ(bytes, "GET");
    response_parser response(small_header, false);
    bytes = QByteArray::fromStdString(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" +
        body + "\r\n1\r\nz\r\n0\r\n\r\n");
    ASSERT_EQ(response.parse(bytes), parse_state::complete);
    EXPECT_EQ(response.take_message().body, body + "z");
}

// Taken for an interim response, it kept the caller waiting until the timeout.
TEST(response_parser, status_below_100_is_malformed)
{
    for (const char* status : {"000", "001", "099"})
    {
        response_parser parser({}, false);
        QByteArray bytes = QByteArray("HTTP/1.1 ") + status +
                           " Error\r\nContent-Length: 2\r\n\r\nno";
        EXPECT_EQ(parser.parse(bytes), parse_state::malformed) << status;
    }
    response_parser parser({}, false);
    QByteArray bytes = "HTTP/1.1 100 Continue\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    EXPECT_EQ(parser.parse(bytes), parse_state::complete);
}

} // namespace
} // namespace jujubespan::http
