#ifndef JUJUBESPAN_MESH_ALLOWANCE_SPENDER_HPP
#define JUJUBESPAN_MESH_ALLOWANCE_SPENDER_HPP

#include "jujubespan/mesh/allowance_members.hpp"
#include "jujubespan/mesh/allowance_messages.hpp"
#include "jujubespan/mesh/configuration.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Whether a request may be admitted.
enum class spend_result
{
    spent,    ///< A token was taken.
    wait,     ///< A token is being requested; counted as waiting.
    refused,  ///< The allowance is used up.
    unlimited ///< The organisation has no limit.
};

/// @brief A request and the address of the node to which it is sent.
struct outgoing_allowance_request
{
    std::string peer;
    allowance_request request;
};

/// @brief Holds and spends the tokens of one node, and decides when it asks
/// which authority for more.
///
/// Asks the first of the authorities that answers. If none does, the node
/// spends its equal share of the rate. Not thread safe.
class allowance_spender
{
public:
    allowance_spender(std::string own_address, std::string failure_domain);

    void apply(const configuration& next);
    void apply(const instance_directory& list, time_point now);

    /// @brief Takes a token for a new request.
    spend_result spend(const organisation& sender, time_point now);

    /// @brief Takes a token for a request that has waited.
    /// @return false when there is none; the request still waits.
    bool spend_for_waiting(std::string_view name, time_point now);

    /// @brief A request no longer waits.
    void cancel_wait(std::string_view name);

    /// @brief Time after which a request that is refused now should be sent
    /// again. Each refusal by `spend` or `refuse_waiting` increases it, so that
    /// callers do not return at the same time.
    [[nodiscard]] duration retry_after(const organisation& sender,
                                       time_point now) const;

    /// @brief A request that waited is refused.
    void refuse_waiting(std::string_view name, time_point now);

    /// @brief Returns the token of a request that did not run.
    void refund(std::string_view name, time_point now);

    /// @brief The next request that is due; to be called until it returns
    /// none, every 20 ms and when a request begins to wait.
    std::optional<outgoing_allowance_request> next_request(time_point now);

    /// @param peer address of the node that answered.
    void on_grant(std::string_view peer, const allowance_grant& grant,
                  time_point now);

    /// @brief The connection to a node is lost. If it is the authority, another
    /// one is asked as soon as it answers.
    void on_peer_lost(std::string_view peer)
    {
        disconnected_ = disconnected_ || peer == active_;
    }

    /// @brief Address of the authority in use; empty if none answers.
    [[nodiscard]] std::string_view authority() const { return active_; }

    /// @brief Whether a request waits for a token.
    [[nodiscard]] bool has_waiting() const { return waiting_ > 0; }

    /// @brief Whether any organisation has a limit.
    [[nodiscard]] bool enabled() const { return !accounts_.empty(); }

private:
    struct lot
    {
        double tokens{0};
        time_point expires_at{};
    };

    struct account
    {
        mesh::allowance allowance;
        std::uint64_t hash{0};
        std::deque<lot> lots;
        std::size_t waiting{0};
        double offered_rate{0}; // At `measured_at`.
        double granted_rate{0}; // At `measured_at`.
        time_point measured_at{};
        std::optional<time_point> exhausted_at; // Reported by the authority.
        time_point next_token_at{};
        time_point retry_after_until{}; // Latest Retry-After.
        double own_tokens{0}; // Without an authority that grants tokens.
        bool unknown_to_authority{false};
        time_point own_filled_at{};
    };

    struct sent_request
    {
        std::uint64_t sequence{0};
        std::string peer;
        time_point sent_at{};
    };

    struct candidate
    {
        std::string address;
        time_point next_probe{};
        std::optional<time_point> answered_at;
    };

    account* find(std::string_view name);
    [[nodiscard]] static double held(const account& item);
    static void expire(account& item, time_point now);
    static void decay_rates(account& item, time_point now);
    bool take(account& item, time_point now);
    bool take_equal_share(account& item, time_point now);
    void delay_retry(account& item, time_point now) const;
    void select_authority(time_point now);
    void log_authority();
    void use_authority(std::string address, time_point now);
    std::optional<outgoing_allowance_request> next_probe(time_point now);
    [[nodiscard]] bool unanswered_for(duration limit, time_point now) const;
    [[nodiscard]] bool is_settling(time_point now) const;
    [[nodiscard]] bool is_request_due(time_point now) const;
    [[nodiscard]] duration request_interval() const;
    allowance_request make_request(time_point now);
    candidate* find_candidate(std::string_view address);

    std::string own_address_;
    std::string failure_domain_;
    allowance_members members_;
    std::size_t node_count_{0};    // Updated with each regular request.
    string_map<account> accounts_; // by organisation's name
    std::size_t waiting_{0};
    std::vector<candidate> candidates_; // preferred ones first
    std::string active_;
    std::string logged_authority_;
    bool disconnected_{false}; // from the authority in use
    time_point authority_since_{};
    std::optional<time_point> unanswered_since_;
    time_point last_check_{};
    time_point last_request_{};
    std::optional<time_point> next_regular_;
    std::deque<sent_request> sent_;
    std::uint64_t next_sequence_{1};
    bool exhausted_{false}; // The last grant was less than asked for.
};

} // namespace jujubespan::mesh

#endif
