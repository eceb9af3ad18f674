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

/// @brief Stand-in for the platform. It provides the configuration service and
/// the instance list that docs/PLATFORM.md defines.
///
/// `PUT` and `DELETE /admin/{contracts,instances}/KEY` change an entry of a
/// topic. `GET /admin/reads` returns the number of topic reads.
/// `PUT /admin/state?down=0&frozen=0&delay_ms=0` injects faults: `down=1`
/// answers reads with 503, `frozen=1` hides later changes from readers, and
/// `delay_ms` delays the responses to reads.
class platform_server : private jujubespan::http::request_handler
{
public:
    platform_server();

    absl::Status listen(const jujubespan::config::endpoint& address);

    void put_entry(jujubespan::topic topic_id, const std::string& key,
                   const std::string& entry_value);
    void remove_entry(jujubespan::topic topic_id, const std::string& key);

private:
    /// A read that waits for a revision other than `after_revision`.
    struct long_poll
    {
        std::uint64_t exchange;
        jujubespan::topic topic_id;
        std::uint64_t after_revision;
        jujubespan::time_point deadline;
    };

    void on_request(std::uint64_t exchange,
                    jujubespan::http_request request) override;
    void on_client_disconnected(std::uint64_t exchange) override;
    void on_topic_request(std::uint64_t exchange, jujubespan::topic topic_id,
                          const jujubespan::http_request& request);
    void on_admin_request(std::uint64_t exchange,
                          const jujubespan::http_request& request);
    void apply_change(jujubespan::topic topic_id,
                      jujubespan::versioned_entry entry);
    void send_delta(std::uint64_t exchange, jujubespan::topic topic_id,
                    std::uint64_t after_revision);
    void send_response(std::uint64_t exchange, unsigned status,
                       std::string body);
    void answer_due_polls(jujubespan::time_point now);
    jujubespan::versioned_map& current_map(jujubespan::topic topic_id)
    {
        return maps_[static_cast<std::size_t>(topic_id)];
    }
    /// The map that readers see: the frozen one, if any.
    const jujubespan::versioned_map& published_map(jujubespan::topic topic_id);

    QObject context_object_;
    QTimer long_poll_timer_;
    jujubespan::http::server server_;
    std::array<jujubespan::versioned_map, 2> maps_;
    std::optional<std::array<jujubespan::versioned_map, 2>> frozen_maps_;
    std::vector<long_poll> long_polls_;
    std::uint64_t read_count_{0};
    bool unavailable_{false};
    int response_delay_ms_{0};
};

} // namespace standin

#endif
