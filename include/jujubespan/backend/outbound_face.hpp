#ifndef JUJUBESPAN_BACKEND_OUTBOUND_FACE_HPP
#define JUJUBESPAN_BACKEND_OUTBOUND_FACE_HPP

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/http/server.hpp"

#include <absl/status/status.h>

namespace jujubespan::backend
{

/// @brief The HTTP endpoint through which the own backend server calls other
/// services.
///
/// The service is the Host of the request, or that of an absolute target, as
/// an HTTP client sends it to a forward proxy.
class outbound_face final : public engine::reply_port,
                            private http::request_handler
{
public:
    /// @param calls outlives the face.
    outbound_face(const config::resource_limits& limits,
                  engine::call_engine& calls);

    absl::Status listen(const config::endpoint& address);

    void reply(std::uint64_t exchange, const engine::answer& value,
               std::string_view request_id) override;

private:
    void on_request(std::uint64_t exchange, http_request request) override;
    void on_gone(std::uint64_t exchange) override;

    engine::call_engine& calls_;
    http::server server_;
};

/// @brief Turns an absolute target into a Host header and a path.
void normalize_target(http_request& request);

} // namespace jujubespan::backend

#endif
