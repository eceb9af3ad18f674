#ifndef JUJUBESPAN_CALLER_CALLER_ENDPOINT_HPP
#define JUJUBESPAN_CALLER_CALLER_ENDPOINT_HPP

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/http/server.hpp"

#include <absl/status/status.h>

namespace jujubespan::caller
{

/// @brief HTTP endpoint that accepts requests from callers.
class caller_endpoint final : public engine::reply_port,
                              private http::request_handler
{
public:
    /// @param engine must outlive this object.
    /// @param memory the account of the process; null: none.
    caller_endpoint(const config::resource_limits& limits,
                    engine::call_engine& engine,
                    std::shared_ptr<memory_account> memory = nullptr);

    absl::Status listen(const config::endpoint& address);

    /// @brief Closes each connection after its current request.
    void begin_drain() { server_.begin_drain(); }

    [[nodiscard]] std::size_t connection_count() const
    {
        return server_.connection_count();
    }

    void send_reply(std::uint64_t exchange, const engine::answer& answer,
                    std::string_view request_id) override;

private:
    void on_request(std::uint64_t exchange, http_request request) override;
    void on_client_disconnected(std::uint64_t exchange) override;

    engine::call_engine& engine_;
    http::server server_;
};

} // namespace jujubespan::caller

#endif
