#include "jujubespan/backend/backend_client.hpp"

namespace jujubespan::backend
{

namespace
{

engine::backend_end to_backend_end(http::exchange_result result)
{
    switch (result)
    {
    case http::exchange_result::answered:
        return engine::backend_end::answered;
    case http::exchange_result::unreachable:
        return engine::backend_end::unreachable;
    case http::exchange_result::failed:
        break;
    }
    return engine::backend_end::failed;
}

engine::backend_probe_result to_backend_probe_result(http::probe_result result)
{
    switch (result)
    {
    case http::probe_result::accepted:
        return engine::backend_probe_result::accepted;
    case http::probe_result::refused:
        return engine::backend_probe_result::refused;
    case http::probe_result::unknown:
        break;
    }
    return engine::backend_probe_result::unknown;
}

} // namespace

backend_client::backend_client(const config::settings& options,
                               std::shared_ptr<memory_account> memory)
    : backend_client(options.backend_address,
                     {.limits = {options.limits.max_header_bytes,
                                 options.limits.max_body_bytes},
                      .memory = std::move(memory),
                      .max_idle_connections = options.slots})
{
}

backend_client::backend_client(const config::endpoint& address,
                               const http::client_options& options)
    : client_(address, options, *this)
{
}

void backend_client::start(std::uint64_t call, const http_request& request)
{
    client_.start(call, request);
}

void backend_client::cancel(std::uint64_t call)
{
    client_.cancel(call);
}

bool backend_client::probe()
{
    client_.probe();
    return true;
}

void backend_client::on_probe_end(http::probe_result result)
{
    event_handler_->on_backend_probe_end(to_backend_probe_result(result),
                                         boot_clock::now());
}

void backend_client::on_exchange_end(std::uint64_t exchange,
                                     http::exchange_result result,
                                     http_response response)
{
    event_handler_->on_backend_exchange_end(exchange, to_backend_end(result),
                                            std::move(response),
                                            boot_clock::now());
}

} // namespace jujubespan::backend
