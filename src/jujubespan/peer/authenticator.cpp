#include "jujubespan/peer/authenticator.hpp"

#include "jujubespan/metrics/log.hpp"

#include <array>
#include <vector>

namespace jujubespan::peer
{

namespace
{

constexpr auto zap_endpoint = "inproc://zeromq.zap.01";
constexpr std::size_t raw_key_bytes = 32;
constexpr std::size_t z85_buffer_bytes = 41; // with the terminating null

// Frame positions in a ZAP request.
constexpr std::size_t version_frame = 0;
constexpr std::size_t id_frame = 1;
constexpr std::size_t address_frame = 3;
constexpr std::size_t mechanism_frame = 5;
constexpr std::size_t key_frame = 6;
constexpr std::size_t frame_count = 7;

} // namespace

authenticator::authenticator(zmq::context_t& context)
    : socket_(context, zmq::socket_type::rep, [this] { receive_requests(); })
{
    socket_.bind(zap_endpoint);
    socket_.start_watching();
}

void authenticator::set_allowed_keys(std::span<const std::string> keys)
{
    allowed_keys_ = std::set<std::string>(keys.begin(), keys.end());
}

void authenticator::receive_requests()
{
    while (true)
    {
        std::vector<zmq::message_t> request;
        bool more = true;
        while (more)
        {
            zmq::message_t frame;
            if (!socket_.receive(frame))
            {
                return;
            }
            more = frame.more();
            request.push_back(std::move(frame));
        }
        send_reply(request);
    }
}

bool authenticator::is_key_allowed(
    std::span<const zmq::message_t> request) const
{
    if (request.size() < frame_count ||
        request[mechanism_frame].to_string_view() != "CURVE" ||
        request[key_frame].size() != raw_key_bytes)
    {
        return false;
    }
    std::array<char, z85_buffer_bytes> z85_key{};
    zmq_z85_encode(z85_key.data(), request[key_frame].data<std::uint8_t>(),
                   raw_key_bytes);
    return allowed_keys_.contains(std::string(z85_key.data()));
}

void authenticator::send_reply(std::span<const zmq::message_t> request)
{
    const bool accepted = is_key_allowed(request);
    const auto frame = [&](std::size_t index) {
        return index < request.size() ? request[index].to_string()
                                      : std::string();
    };
    if (!accepted)
    {
        ++refused_count_;
        log(log_level::warn, "peer_refused", "address={}",
            frame(address_frame));
    }
    const std::array<std::string, 6> reply{frame(version_frame),
                                           frame(id_frame),
                                           accepted ? "200" : "400",
                                           accepted ? "OK"
                                                    : "key is not allowed",
                                           "",
                                           ""};
    for (std::size_t i = 0; i < reply.size(); ++i)
    {
        socket_.send(zmq::message_t(reply[i].data(), reply[i].size()),
                     i + 1 < reply.size());
    }
}

} // namespace jujubespan::peer
