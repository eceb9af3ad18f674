#include "jujubespan/engine/customer_guard.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace jujubespan::engine
{

namespace
{

constexpr duration lease_length = std::chrono::seconds(2);
constexpr duration lease_margin = std::chrono::milliseconds(500);
constexpr double retry_burst = 10;
// Part of the offered rate that may be used before the shed key grows.
constexpr double wish_factor = 1.2;

} // namespace

customer_guard::customer_state::customer_state(const config::contract& terms)
    : bucket(terms.burst), retries(terms.caller_retry_ratio, retry_burst),
      leases(lease_length, lease_margin)
{
    apply(terms);
}

void customer_guard::customer_state::apply(const config::contract& terms)
{
    bucket = token_bucket(terms.burst);
    retries = retry_ratio(terms.caller_retry_ratio, retry_burst);
    share_id = fmt::format("{}", fmt::join(terms.entry_services(), ","));
}

void customer_guard::on_changed(const config::contract& terms)
{
    const auto found = customers_.find(terms.customer);
    if (found != customers_.end())
    {
        found->second.apply(terms);
    }
}

customer_guard::customer_guard(std::string self, std::string domain,
                               std::size_t domains, duration lag)
    : self_(std::move(self)), domain_(std::move(domain)),
      domains_(std::max<std::size_t>(domains, 1)), lag_(lag)
{
}

std::vector<std::string>
customer_guard::members(std::string_view share_id) const
{
    std::vector<std::string> ids;
    for (const auto& item : own_domain_)
    {
        // The id is a list of service names separated by commas.
        const auto listed = fmt::format(",{},", share_id);
        if (listed.find(fmt::format(",{},", item.service)) != std::string::npos)
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
        share.apply(members(id), now);
    }
    on_contact(now);
}

void customer_guard::on_contact(time_point now)
{
    if (!member_since_ || now - last_contact_ > lag_ / 2)
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
customer_guard::state(const config::contract& terms)
{
    const auto found = customers_.find(terms.customer);
    if (found != customers_.end())
    {
        return found->second;
    }
    return customers_.emplace(terms.customer, customer_state(terms))
        .first->second;
}

rate_share& customer_guard::share(const config::contract& terms, time_point now)
{
    const auto& id = state(terms).share_id;
    const auto found = shares_.find(id);
    if (found != shares_.end())
    {
        return found->second;
    }
    rate_share created(self_, lag_);
    created.assume(members(id), member_since_.value_or(now), last_contact_);
    return shares_.emplace(id, std::move(created)).first->second;
}

double customer_guard::static_share(const config::contract& terms,
                                    time_point now)
{
    double domain_share = 1.0 / static_cast<double>(domains_);
    if (!terms.domain_shares.empty())
    {
        const auto found = terms.domain_shares.find(domain_);
        domain_share = found == terms.domain_shares.end() ? 0 : found->second;
    }
    return terms.requests_per_second * domain_share *
           share(terms, now).fraction(now);
}

double customer_guard::allowed(const config::contract& terms, time_point now)
{
    return state(terms).leases.effective(static_share(terms, now), now);
}

customer_verdict customer_guard::admit(const config::contract& terms,
                                       bool is_retry, time_point now)
{
    auto& customer = state(terms);
    customer.offered.add(now);
    if (is_retry && !customer.retries.allow_retry())
    {
        return customer_verdict::retries_exceeded;
    }
    if (!is_retry)
    {
        customer.retries.on_first_attempt();
    }
    if (!customer.bucket.take(allowed(terms, now), now))
    {
        customer.refused = true;
        return customer_verdict::rate_exceeded;
    }
    customer.admitted.add(now);
    return customer_verdict::admit;
}

double customer_guard::use(const config::contract& terms, time_point now)
{
    const double rate = allowed(terms, now);
    return rate <= 0 ? 1 : state(terms).offered.per_second(now) / rate;
}

duration customer_guard::retry_after(const config::contract& terms,
                                     time_point now)
{
    return state(terms).bucket.wait(allowed(terms, now));
}

double customer_guard::lend_rate(const config::contract& terms, double asked,
                                 time_point now)
{
    const double share = static_share(terms, now);
    auto& customer = state(terms);
    return customer.leases.lend(asked, share, customer.offered.per_second(now),
                                now);
}

void customer_guard::on_lease_granted(std::string_view customer, double rate,
                                      time_point asked_at, time_point now)
{
    const auto found = customers_.find(customer);
    if (found != customers_.end())
    {
        found->second.leases.on_grant(rate, asked_at, now);
    }
}

std::vector<borrow_request> customer_guard::take_borrow_requests(time_point now)
{
    std::vector<borrow_request> wishes;
    for (auto& [id, customer] : customers_)
    {
        if (customer.refused)
        {
            const double offered = customer.offered.per_second(now);
            const double admitted = customer.admitted.per_second(now);
            wishes.push_back({id, (offered - admitted) * wish_factor});
            customer.refused = false;
        }
    }
    return wishes;
}

void customer_guard::on_pause(duration gap, time_point now)
{
    for (auto& [id, customer] : customers_)
    {
        customer.leases.forget_borrowed();
    }
    for (auto& [id, share] : shares_)
    {
        share.on_pause(gap, now);
    }
}

} // namespace jujubespan::engine
