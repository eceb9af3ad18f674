#ifndef JUJUBESPAN_BACKEND_BACKEND_CLIENT_HPP
#define JUJUBESPAN_BACKEND_BACKEND_CLIENT_HPP

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/http/client.hpp"

namespace jujubespan::backend
{

/// @brief Sends admitted calls to the own backend server.
class backend_client final : public engine::backend_port,
                             private http::response_handler
{
public:
    explicit backend_client(const config::settings& options);

    /// @brief Sets the engine that receives the ends; call before `start`.
    void bind(engine::call_engine& calls) { calls_ = &calls; }

    void start(std::uint64_t call, const http_request& request) override;
    void cancel(std::uint64_t call) override;

private:
    void on_end(std::uint64_t exchange, http::client_end end,
                http_response response) override;

    engine::call_engine* calls_{nullptr};
    http::client client_;
};

} // namespace jujubespan::backend

#endif
