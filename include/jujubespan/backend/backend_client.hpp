#ifndef JUJUBESPAN_BACKEND_BACKEND_CLIENT_HPP
#define JUJUBESPAN_BACKEND_BACKEND_CLIENT_HPP

#include "jujubespan/engine/call.hpp"
#include "jujubespan/http/client.hpp"

namespace jujubespan::backend
{

/// @brief Sends admitted calls to the backend server beside this node.
class backend_client final : public engine::backend_port,
                             private http::response_handler
{
public:
    /// @param memory the account of the process; null: none.
    explicit backend_client(const config::settings& options,
                            std::shared_ptr<memory_account> memory = nullptr);

    backend_client(const config::endpoint& address,
                   const http::client_options& options);

    /// @brief Sets the handler that is notified how each call ended. Must be
    /// called before `start`.
    void bind(engine::backend_events& handler) { event_handler_ = &handler; }

    /// @brief Sets the number of open connections at which an idle one is
    /// closed before another is opened. Connections in use are not limited.
    void set_max_connections(std::size_t max_connections)
    {
        client_.set_max_connections(max_connections);
    }

    /// @brief Sets what frees memory before a call fails for lack of it.
    void set_reclaimer(memory_reclaimer& reclaimer)
    {
        client_.set_reclaimer(reclaimer);
    }

    /// @brief Connections opened since the start.
    [[nodiscard]] std::uint64_t connect_attempts() const
    {
        return client_.connect_attempts();
    }

    void start(std::uint64_t call, const http_request& request) override;
    void cancel(std::uint64_t call) override;
    bool probe() override;

private:
    void on_exchange_end(std::uint64_t exchange, http::exchange_result result,
                         http_response response) override;
    void on_probe_end(http::probe_result result) override;

    engine::backend_events* event_handler_{nullptr};
    http::client client_;
};

} // namespace jujubespan::backend

#endif
