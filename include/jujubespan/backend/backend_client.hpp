#ifndef JUJUBESPAN_BACKEND_BACKEND_CLIENT_HPP
#define JUJUBESPAN_BACKEND_BACKEND_CLIENT_HPP

#include "jujubespan/engine/call.hpp"
#include "jujubespan/http/client.hpp"

namespace jujubespan::backend
{

/// @brief Sends admitted calls to the own backend server.
class backend_client final : public engine::backend_port,
                             private http::response_handler
{
public:
    explicit backend_client(const config::settings& options);

    backend_client(const config::endpoint& address,
                   const http::client_options& options);

    /// @brief Sets who receives the ends; call before `start`.
    void bind(engine::backend_events& calls) { calls_ = &calls; }

    /// @brief Sets the most connections that may be open at once.
    void limit_connections(std::size_t most)
    {
        client_.set_max_connections(most);
    }
    [[nodiscard]] std::uint64_t connects() const
    {
        return client_.connect_attempts();
    }

    void start(std::uint64_t call, const http_request& request) override;
    void cancel(std::uint64_t call) override;

private:
    void on_end(std::uint64_t exchange, http::exchange_result end,
                http_response response) override;

    engine::backend_events* calls_{nullptr};
    http::client client_;
};

} // namespace jujubespan::backend

#endif
