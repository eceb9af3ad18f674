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

/// @brief Result of checking a request against the customer's contract.
enum class customer_verdict
{
    admit,
    rate_exceeded,
    retries_exceeded
};

/// @brief Rate of a customer that this node asks to borrow from its peers.
struct borrow_request
{
    std::string customer;
    double rate{0}; ///< Requests per second.
};

/// @brief Enforces this node's share of each customer's rate, and the limit on
/// callers' retries.
class customer_guard
{
public:
    /// @param domain_count number of failure domains of the deployment.
    /// @param list_lag upper bound on the delay until every node has received a
    /// change of the instance list.
    customer_guard(std::string own_id, std::string domain,
                   std::size_t domain_count, duration list_lag);

    /// @brief Applies the instance list.
    void apply(std::span<const instance> list, time_point now);

    /// @brief Records contact with the platform or with a peer of the same
    /// failure domain.
    void on_contact(time_point now);

    /// @brief Applies a changed contract; existing leases are kept.
    void on_contract_changed(const config::contract& contract);

    /// @brief Checks a root request against the customer's rate and retry
    /// limit.
    customer_verdict admit(const config::contract& contract, bool is_retry,
                           time_point now);

    /// @brief Offered rate divided by the rate that this node may admit; used
    /// to compute the shed key.
    [[nodiscard]] double utilisation(const config::contract& contract,
                                     time_point now);

    /// @brief Delay after which a refused caller may retry.
    [[nodiscard]] duration retry_after(const config::contract& contract,
                                       time_point now);

    /// @brief Requests per second that this node may admit.
    [[nodiscard]] double allowed_rate(const config::contract& contract,
                                      time_point now);

    /// @brief Lends part of this node's unused rate to a peer.
    /// @return rate lent, in requests per second.
    double lend_rate(const config::contract& contract, double requested_rate,
                     time_point now);

    /// @brief Applies a lease granted by a peer.
    /// @param requested_at time of the request; the lease counts from it.
    void on_lease_granted(std::string_view customer, double rate,
                          time_point requested_at, time_point now);

    /// @brief Returns borrow requests for the customers that exceeded their
    /// rate since the last call.
    std::vector<borrow_request> take_borrow_requests(time_point now);

    /// @brief Discards borrowed leases and informs the rate shares after a
    /// pause of the process.
    void on_pause(duration gap, time_point now);

    /// @brief Removes the state of customers for which `known` returns false.
    template <typename Known>
    void retain(Known known)
    {
        std::erase_if(customers_,
                      [&](const auto& item) { return !known(item.first); });
    }

private:
    struct customer_state
    {
        explicit customer_state(const config::contract& contract);

        void apply(const config::contract& contract);

        token_bucket bucket;
        rate_meter offered;
        rate_meter admitted;
        retry_ratio retries;
        share_leases leases;
        std::string share_id;
        bool rate_refused{false};
    };

    customer_state& state_of(const config::contract& contract);
    rate_share& share_of(const config::contract& contract, time_point now);
    double rate_without_leases(const config::contract& contract,
                               time_point now);
    std::vector<std::string> member_ids(std::string_view share_id) const;

    std::string own_id_;
    std::string domain_;
    std::size_t domain_count_;
    duration list_lag_;
    time_point last_contact_{};
    std::optional<time_point> member_since_;
    std::vector<instance> own_domain_;
    string_map<rate_share> shares_;
    string_map<customer_state> customers_;
};

} // namespace jujubespan::engine

#endif
