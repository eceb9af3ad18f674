#ifndef JUJUBESPAN_BACKEND_OUTBOUND_ENDPOINT_HPP
#define JUJUBESPAN_BACKEND_OUTBOUND_ENDPOINT_HPP

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/http/server.hpp"

#include <absl/status/status.h>

namespace jujubespan::backend
{

/// @brief HTTP endpoint through which the backend server beside this node calls
/// other services.
///
/// The called service is named by the Host header or, if the request target is
/// an absolute URL as sent to a forward proxy, by the host in that URL.
class outbound_endpoint final : public engine::reply_port,
                                private http::request_handler
{
public:
    /// @param engine must outlive this object.
    /// @param memory the account of the process; null: none.
    outbound_endpoint(const config::resource_limits& limits,
                      engine::call_engine& engine,
                      std::shared_ptr<memory_account> memory = nullptr);

    absl::Status listen(const config::endpoint& address);

    void send_reply(std::uint64_t exchange, const engine::answer& answer,
                    std::string_view request_id) override;

private:
    void on_request(std::uint64_t exchange, http_request request) override;
    void on_client_disconnected(std::uint64_t exchange) override;

    engine::call_engine& engine_;
    http::server server_;
};

/// @brief Replaces an absolute request target by its path and sets the Host
/// header to its host.
void normalize_target(http_request& request);

} // namespace jujubespan::backend

#endif
