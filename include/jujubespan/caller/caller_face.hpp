#ifndef JUJUBESPAN_CALLER_CALLER_FACE_HPP
#define JUJUBESPAN_CALLER_CALLER_FACE_HPP

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/http/server.hpp"

#include <absl/status/status.h>

namespace jujubespan::caller
{

/// @brief The HTTP endpoint for callers.
class caller_face final : public engine::reply_port,
                          private http::request_handler
{
public:
    /// @param calls outlives the face.
    caller_face(const config::resource_limits& limits,
                engine::call_engine& calls);

    absl::Status listen(const config::endpoint& address);

    /// @brief Closes each connection after its present request.
    void begin_drain() { server_.begin_drain(); }

    [[nodiscard]] std::size_t connections() const
    {
        return server_.connection_count();
    }

    void reply(std::uint64_t exchange, const engine::answer& value,
               std::string_view request_id) override;

private:
    void on_request(std::uint64_t exchange, http_request request) override;
    void on_gone(std::uint64_t exchange) override;

    engine::call_engine& calls_;
    http::server server_;
};

} // namespace jujubespan::caller

#endif
