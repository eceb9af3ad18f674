#include "jujubespan/peer/counted_message.hpp"

#include "jujubespan/peer/peer.pb.h"

#include <vector>

namespace jujubespan::peer
{

namespace
{

// Released by the thread of ZeroMQ that sends the message, possibly after the
// socket has been closed.
class counted_buffer
{
public:
    counted_buffer(std::size_t size, std::shared_ptr<memory_account> memory)
        : bytes_(size), memory_(std::move(memory))
    {
        memory_->add(bytes_.size());
    }
    ~counted_buffer() { memory_->remove(bytes_.size()); }
    counted_buffer(const counted_buffer&) = delete;
    counted_buffer& operator=(const counted_buffer&) = delete;

    [[nodiscard]] std::vector<char>& bytes() { return bytes_; }

private:
    std::vector<char> bytes_;
    std::shared_ptr<memory_account> memory_;
};

void release_buffer(void* /*data*/, void* buffer)
{
    delete static_cast<counted_buffer*>(buffer);
}

} // namespace

zmq::message_t serialize_counted(const v1::Envelope& message,
                                 const std::shared_ptr<memory_account>& memory)
{
    const std::size_t size = message.ByteSizeLong();
    if (!memory || size == 0)
    {
        zmq::message_t payload(size);
        message.SerializeToArray(payload.data(), static_cast<int>(size));
        return payload;
    }
    auto buffer = std::make_unique<counted_buffer>(size, memory);
    auto& bytes = buffer->bytes();
    message.SerializeToArray(bytes.data(), static_cast<int>(size));
    return {bytes.data(), size, release_buffer, buffer.release()};
}

} // namespace jujubespan::peer
