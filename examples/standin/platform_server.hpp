#ifndef JUJUBESPAN_EXAMPLES_STANDIN_PLATFORM_SERVER_HPP
#define JUJUBESPAN_EXAMPLES_STANDIN_PLATFORM_SERVER_HPP

#include "jujubespan/http/server.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <QObject>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace standin
{

/// @brief Stands in for the platform: configuration service and instance
/// list, as docs/PLATFORM.md defines them.
///
/// `PUT` and `DELETE /admin/{contracts,instances}/KEY` change a topic;
/// `PUT /admin/state?down=0&frozen=0&delay_ms=0` makes it fail, `GET
/// /admin/reads` returns the number of reads.
class platform_server : private jujubespan::http::request_handler
{
public:
    platform_server();

    absl::Status listen(const jujubespan::config::endpoint& address);

    void put(jujubespan::topic which, const std::string& key,
             const std::string& value);
    void remove(jujubespan::topic which, const std::string& key);

private:
    struct waiting
    {
        std::uint64_t exchange;
        jujubespan::topic which;
        std::uint64_t after;
        jujubespan::time_point until;
    };

    void on_request(std::uint64_t exchange,
                    jujubespan::http_request request) override;
    void on_client_disconnected(std::uint64_t exchange) override;
    void on_read(std::uint64_t exchange, jujubespan::topic which,
                 const jujubespan::http_request& request);
    void on_admin(std::uint64_t exchange,
                  const jujubespan::http_request& request);
    void change(jujubespan::topic which, jujubespan::versioned_entry entry);
    void answer(std::uint64_t exchange, jujubespan::topic which,
                std::uint64_t after);
    void send(std::uint64_t exchange, unsigned status, std::string body);
    void wake(jujubespan::time_point now);
    jujubespan::versioned_map& map(jujubespan::topic which)
    {
        return maps_[static_cast<std::size_t>(which)];
    }
    const jujubespan::versioned_map& published(jujubespan::topic which);

    QObject guard_;
    QTimer timer_;
    jujubespan::http::server server_;
    std::array<jujubespan::versioned_map, 2> maps_;
    std::optional<std::array<jujubespan::versioned_map, 2>> frozen_;
    std::vector<waiting> waiting_;
    std::uint64_t reads_{0};
    bool down_{false};
    int delay_ms_{0};
};

} // namespace standin

#endif
