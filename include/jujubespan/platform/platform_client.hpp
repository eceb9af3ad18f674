#ifndef JUJUBESPAN_PLATFORM_PLATFORM_CLIENT_HPP
#define JUJUBESPAN_PLATFORM_PLATFORM_CLIENT_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/policy/time.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <absl/status/status.h>

#include <QNetworkAccessManager>
#include <QObject>

#include <array>
#include <cstdint>
#include <random>

class QNetworkReply;

namespace jujubespan::platform
{

/// @brief Receives the platform's responses.
class platform_handler
{
public:
    virtual ~platform_handler() = default;

    /// @brief Called for each response; the delta is empty if nothing changed.
    virtual void on_platform_delta(topic topic_id,
                                   const versioned_delta& delta) = 0;

    virtual void on_platform_failure(topic topic_id,
                                     const absl::Status& error) = 0;

    /// @brief Returns the last applied revision; the next call requests the
    /// changes after it.
    virtual std::uint64_t revision(topic topic_id) const = 0;
};

/// @brief Read-only client of the platform's configuration service and instance
/// list.
class platform_client
{
public:
    /// @param handler outlives the client.
    platform_client(const config::endpoint& address, std::uint64_t seed,
                    platform_handler& handler);

    /// @brief Watches both topics until `stop_watching`; retries failed calls
    /// after a delay with jitter.
    void start_watching();
    void stop_watching() { watching_ = false; }
    [[nodiscard]] bool watching() const { return watching_; }

    /// @brief Reads both topics once.
    void read_topics();

    /// @brief Number of calls made so far.
    [[nodiscard]] std::uint64_t call_count() const { return call_count_; }

private:
    struct request_state
    {
        bool in_flight{false};
        unsigned consecutive_failures{0};
    };

    void send_request(topic topic_id, bool wait_for_change);
    void handle_reply(topic topic_id, QNetworkReply& reply);
    void schedule_retry(topic topic_id);
    request_state& state(topic topic_id)
    {
        return states_[static_cast<std::size_t>(topic_id)];
    }

    config::endpoint address_;
    platform_handler& handler_;
    QObject callback_context_;
    QNetworkAccessManager network_;
    std::mt19937_64 random_engine_;
    bool watching_{false};
    std::uint64_t call_count_{0};
    std::array<request_state, all_topics.size()> states_;
};

} // namespace jujubespan::platform

#endif
