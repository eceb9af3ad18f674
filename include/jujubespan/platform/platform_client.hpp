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

/// @brief Receives the platform's answers.
class platform_handler
{
public:
    virtual ~platform_handler() = default;

    /// @brief The platform answered; the delta is empty when nothing changed.
    virtual void on_platform_delta(topic which,
                                   const versioned_delta& delta) = 0;

    virtual void on_platform_failure(topic which, const absl::Status& why) = 0;

    /// @brief Revision after which to ask.
    virtual std::uint64_t revision(topic which) const = 0;
};

/// @brief Reads and watches the platform's service; never writes.
class platform_client
{
public:
    /// @param handler outlives the client.
    platform_client(const config::endpoint& address, std::uint64_t seed,
                    platform_handler& handler);

    /// @brief Watches both topics until `stop`; waits with jitter after
    /// failures.
    void start_watching();
    void stop_watching() { watching_ = false; }
    [[nodiscard]] bool watching() const { return watching_; }

    /// @brief Reads both topics once.
    void read_topics();

    /// @brief Calls made so far.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    struct request_state
    {
        bool in_flight{false};
        unsigned failures{0};
    };

    void request(topic which, bool wait);
    void finish(topic which, QNetworkReply& reply);
    void retry_later(topic which);
    request_state& state(topic which)
    {
        return states_[static_cast<std::size_t>(which)];
    }

    config::endpoint address_;
    platform_handler& handler_;
    QObject guard_;
    QNetworkAccessManager network_;
    std::mt19937_64 random_;
    bool watching_{false};
    std::uint64_t calls_{0};
    std::array<request_state, all_topics.size()> states_;
};

} // namespace jujubespan::platform

#endif
