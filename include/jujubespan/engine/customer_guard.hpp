#ifndef JUJUBESPAN_ENGINE_CUSTOMER_GUARD_HPP
#define JUJUBESPAN_ENGINE_CUSTOMER_GUARD_HPP

#include "jujubespan/config/contract.hpp"
#include "jujubespan/policy/instance.hpp"
#include "jujubespan/policy/rate_share.hpp"
#include "jujubespan/policy/retry_budget.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::engine
{

/// @brief Whether a customer's request is within its contract.
enum class customer_verdict
{
    admit,
    rate_exceeded,
    retries_exceeded
};

/// @brief A share of a customer's rate that this node would like to borrow.
struct borrow_request
{
    std::string customer;
    double rate{0}; ///< Requests a second.
};

/// @brief Enforces this node's part of every customer's contract.
class customer_guard
{
public:
    /// @param domains number of failure domains of the deployment.
    /// @param lag bound on how late any node learns of the instance list.
    customer_guard(std::string self, std::string domain, std::size_t domains,
                   duration lag);

    /// @brief Applies the instance list.
    void apply(std::span<const instance> list, time_point now);

    /// @brief A peer of the domain or the platform was heard.
    void on_contact(time_point now);

    /// @brief Applies changed terms; leases stay as they are.
    void on_changed(const config::contract& terms);

    /// @brief Judges a root request.
    customer_verdict admit(const config::contract& terms, bool is_retry,
                           time_point now);

    /// @brief Offered rate over this node's share, for the shed key.
    [[nodiscard]] double use(const config::contract& terms, time_point now);

    /// @brief When a refused caller may come back.
    [[nodiscard]] duration retry_after(const config::contract& terms,
                                       time_point now);

    /// @brief Requests a second that this node may admit.
    [[nodiscard]] double allowed(const config::contract& terms, time_point now);

    /// @brief Lends part of this node's spare share to a peer.
    double lend_rate(const config::contract& terms, double asked,
                     time_point now);

    /// @brief A peer granted a lease asked for at `asked_at`.
    void on_lease_granted(std::string_view customer, double rate,
                          time_point asked_at, time_point now);

    /// @brief Customers that were refused for their rate since the last call.
    std::vector<borrow_request> take_borrow_requests(time_point now);

    /// @brief Forgets what was learned before a pause.
    void on_pause(duration gap, time_point now);

    /// @brief Drops the state of customers that are no longer known.
    template <typename Known>
    void retain(Known known)
    {
        std::erase_if(customers_,
                      [&](const auto& item) { return !known(item.first); });
    }

private:
    struct customer_state
    {
        explicit customer_state(const config::contract& terms);

        void apply(const config::contract& terms);

        token_bucket bucket;
        rate_meter offered;
        rate_meter admitted;
        retry_ratio retries;
        share_leases leases;
        std::string share_id;
        bool refused{false};
    };

    customer_state& state(const config::contract& terms);
    rate_share& share(const config::contract& terms, time_point now);
    double static_share(const config::contract& terms, time_point now);
    std::vector<std::string> members(std::string_view share_id) const;

    std::string self_;
    std::string domain_;
    std::size_t domains_;
    duration lag_;
    time_point last_contact_{};
    std::optional<time_point> member_since_;
    std::vector<instance> own_domain_;
    string_map<rate_share> shares_;
    string_map<customer_state> customers_;
};

} // namespace jujubespan::engine

#endif
