#ifndef JUJUBESPAN_HTTP_RECORDER_TESTING_HPP
#define JUJUBESPAN_HTTP_RECORDER_TESTING_HPP

#include "jujubespan/http/client.hpp"
#include "jujubespan/http/server.hpp"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace jujubespan::http::testing
{

/// @brief Records the callbacks of a server and a client.
class recorder final : public request_handler, public response_handler
{
public:
    void on_request(std::uint64_t exchange, http_request request) override
    {
        requests[exchange] = std::move(request);
    }
    void on_client_disconnected(std::uint64_t exchange) override
    {
        disconnected.push_back(exchange);
    }
    void on_exchange_end(std::uint64_t exchange, exchange_result result,
                         http_response response) override
    {
        results[exchange] = {result, std::move(response)};
    }

    void on_probe_end(probe_result result) override
    {
        probes.push_back(result);
    }

    std::map<std::uint64_t, http_request> requests;
    std::vector<std::uint64_t> disconnected;
    std::map<std::uint64_t, std::pair<exchange_result, http_response>> results;
    std::vector<probe_result> probes;
};

} // namespace jujubespan::http::testing

#endif
