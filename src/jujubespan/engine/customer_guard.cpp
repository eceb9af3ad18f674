#include "jujubespan/engine/customer_guard.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace jujubespan::engine
{

namespace
{

constexpr duration lease_duration = std::chrono::seconds(2);
constexpr duration lease_margin = std::chrono::milliseconds(500);
constexpr double retry_burst = 10;
// A node asks to borrow its refused rate times this factor.
constexpr double borrow_factor = 1.2;

} // namespace

customer_guard::customer_state::customer_state(const config::contract& contract)
    : bucket(contract.burst), retries(contract.caller_retry_ratio, retry_burst),
      leases(lease_duration, lease_margin)
{
    apply(contract);
}

void customer_guard::customer_state::apply(const config::contract& contract)
{
    bucket = token_bucket(contract.burst);
    retries = retry_ratio(contract.caller_retry_ratio, retry_burst);
    share_id = fmt::format("{}", fmt::join(contract.entry_services(), ","));
}

void customer_guard::on_contract_changed(const config::contract& contract)
{
    const auto found = customers_.find(contract.customer);
    if (found != customers_.end())
    {
        found->second.apply(contract);
    }
}

customer_guard::customer_guard(std::string own_id, std::string domain,
                               std::size_t domain_count, duration list_lag)
    : own_id_(std::move(own_id)), domain_(std::move(domain)),
      domain_count_(std::max<std::size_t>(domain_count, 1)), list_lag_(list_lag)
{
}

std::vector<std::string>
customer_guard::member_ids(std::string_view share_id) const
{
    std::vector<std::string> ids;
    for (const auto& item : own_domain_)
    {
        // The share id is a comma-separated list of service names.
        const auto delimited_share_id = fmt::format(",{},", share_id);
        if (delimited_share_id.find(fmt::format(",{},", item.service)) !=
            std::string::npos)
        {
            ids.push_back(item.id);
        }
    }
    return ids;
}

void customer_guard::apply(std::span<const instance> list, time_point now)
{
    own_domain_.clear();
    for (const auto& item : list)
    {
        if (item.failure_domain == domain_)
        {
            own_domain_.push_back(item);
        }
    }
    for (auto& [id, share] : shares_)
    {
        share.apply(member_ids(id), now);
    }
    on_contact(now);
}

void customer_guard::on_contact(time_point now)
{
    if (!member_since_ || now - last_contact_ > list_lag_ / 2)
    {
        member_since_ = now;
    }
    last_contact_ = now;
    for (auto& [id, share] : shares_)
    {
        share.on_contact(now);
    }
}

customer_guard::customer_state&
customer_guard::state_of(const config::contract& contract)
{
    const auto found = customers_.find(contract.customer);
    if (found != customers_.end())
    {
        return found->second;
    }
    return customers_.emplace(contract.customer, customer_state(contract))
        .first->second;
}

rate_share& customer_guard::share_of(const config::contract& contract,
                                     time_point now)
{
    const auto& id = state_of(contract).share_id;
    const auto found = shares_.find(id);
    if (found != shares_.end())
    {
        return found->second;
    }
    rate_share new_share(own_id_, list_lag_);
    new_share.restore(member_ids(id), member_since_.value_or(now),
                      last_contact_);
    return shares_.emplace(id, std::move(new_share)).first->second;
}

double customer_guard::rate_without_leases(const config::contract& contract,
                                           time_point now)
{
    double domain_share = 1.0 / static_cast<double>(domain_count_);
    if (!contract.domain_shares.empty())
    {
        const auto found = contract.domain_shares.find(domain_);
        domain_share =
            found == contract.domain_shares.end() ? 0 : found->second;
    }
    return contract.requests_per_second * domain_share *
           share_of(contract, now).fraction(now);
}

double customer_guard::allowed_rate(const config::contract& contract,
                                    time_point now)
{
    return state_of(contract).leases.effective_rate(
        rate_without_leases(contract, now), now);
}

customer_verdict customer_guard::admit(const config::contract& contract,
                                       bool is_retry, time_point now)
{
    auto& customer = state_of(contract);
    customer.offered.add(now);
    if (is_retry && !customer.retries.allow_retry())
    {
        return customer_verdict::retries_exceeded;
    }
    if (!is_retry)
    {
        customer.retries.on_first_attempt();
    }
    if (!customer.bucket.try_take(allowed_rate(contract, now), now))
    {
        customer.rate_refused = true;
        return customer_verdict::rate_exceeded;
    }
    customer.admitted.add(now);
    return customer_verdict::admit;
}

double customer_guard::utilisation(const config::contract& contract,
                                   time_point now)
{
    const double rate = allowed_rate(contract, now);
    return rate <= 0 ? 1 : state_of(contract).offered.per_second(now) / rate;
}

duration customer_guard::retry_after(const config::contract& contract,
                                     time_point now)
{
    return state_of(contract).bucket.time_until_token(
        allowed_rate(contract, now));
}

double customer_guard::lend_rate(const config::contract& contract,
                                 double requested_rate, time_point now)
{
    const double share = rate_without_leases(contract, now);
    auto& customer = state_of(contract);
    return customer.leases.grant_lease(requested_rate, share,
                                       customer.offered.per_second(now), now);
}

void customer_guard::on_lease_granted(std::string_view customer, double rate,
                                      time_point requested_at, time_point now)
{
    const auto found = customers_.find(customer);
    if (found != customers_.end())
    {
        found->second.leases.record_grant(rate, requested_at, now);
    }
}

std::vector<borrow_request> customer_guard::take_borrow_requests(time_point now)
{
    std::vector<borrow_request> requests;
    for (auto& [id, customer] : customers_)
    {
        if (customer.rate_refused)
        {
            const double offered = customer.offered.per_second(now);
            const double admitted = customer.admitted.per_second(now);
            requests.push_back({id, (offered - admitted) * borrow_factor});
            customer.rate_refused = false;
        }
    }
    return requests;
}

void customer_guard::on_pause(duration gap, time_point now)
{
    for (auto& [id, customer] : customers_)
    {
        customer.leases.clear_borrowed_rate();
    }
    for (auto& [id, share] : shares_)
    {
        share.on_pause(gap, now);
    }
}

} // namespace jujubespan::engine
