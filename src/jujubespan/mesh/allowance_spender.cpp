#include "jujubespan/mesh/allowance_spender.hpp"

#include "jujubespan/metrics/log.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan::mesh
{

namespace
{

using std::chrono::milliseconds;

constexpr duration token_lifetime = std::chrono::seconds(1);
// Tokens are requested for the expected use of this time.
constexpr duration prefetch_time = milliseconds(500);
constexpr duration min_request_interval = milliseconds(250);
constexpr duration request_interval_per_node = milliseconds(4);
// Tokens for half a second must arrive before the previous ones are used up,
// also in a fleet of 300 nodes.
constexpr duration max_request_interval = milliseconds(400);
constexpr duration urgent_interval = milliseconds(20);
// The same for an organisation whose bucket is known to be empty.
constexpr duration exhausted_interval = milliseconds(50);
// An answer usually arrives within a few milliseconds. Until then, a further
// request would ask for the same tokens again.
constexpr duration answer_time = milliseconds(80);
constexpr duration authority_timeout = milliseconds(600);
// Other authorities are probed after this time without an answer, so that one
// is known to be reachable at the end of the timeout.
constexpr duration suspicion_time = milliseconds(300);
constexpr duration suspicious_probe_interval = milliseconds(250);
constexpr duration probe_interval = std::chrono::seconds(1);
// A new authority has few tokens until all nodes ask it.
constexpr duration settling_time = milliseconds(500);
constexpr duration exhausted_lifetime = milliseconds(250);
// A gap of this length between two checks shows that the process was paused;
// answers that arrived in the meantime have not been read.
constexpr duration pause_time = milliseconds(200);
constexpr duration rate_time_constant = std::chrono::seconds(1);
constexpr duration max_retry_after = std::chrono::seconds(10);
constexpr duration min_retry_after = milliseconds(50);
constexpr std::size_t max_sent_requests = 16;
// Sums of granted tokens have rounding errors.
constexpr double one_token = 1 - 1e-6;

} // namespace

allowance_spender::allowance_spender(std::string own_address,
                                     std::string failure_domain)
    : own_address_(std::move(own_address)),
      failure_domain_(std::move(failure_domain))
{
}

void allowance_spender::apply(const configuration& next)
{
    string_map<account> accounts;
    waiting_ = 0;
    if (next.organisations)
    {
        for (const auto& item : *next.organisations)
        {
            if (!item.allowance.limited())
            {
                continue;
            }
            account value;
            if (auto* known = find(item.name))
            {
                value = std::move(*known);
            }
            value.hash = organisation_hash(item.name);
            value.allowance = item.allowance;
            const std::size_t waiting = value.waiting;
            if (accounts.try_emplace(item.name, std::move(value)).second)
            {
                waiting_ += waiting;
            }
        }
    }
    accounts_ = std::move(accounts);
    if (accounts_.empty())
    {
        // Instance lists are not passed on without a limit.
        members_ = {};
        candidates_.clear();
        active_.clear();
    }
}

void allowance_spender::apply(const instance_directory& list, time_point now)
{
    members_.apply(list, now);
    node_count_ = members_.count(now);
    std::vector<candidate> next;
    for (auto& address : members_.authorities(failure_domain_))
    {
        const auto* known = find_candidate(address);
        next.push_back(
            known != nullptr ? *known : candidate{std::move(address), now, {}});
    }
    const bool had_candidates = !candidates_.empty();
    candidates_ = std::move(next);
    if (candidates_.empty())
    {
        use_authority("", now);
        return;
    }
    // While no authority answers, a change of the list alone selects none.
    const bool is_isolated = had_candidates && active_.empty();
    if (!is_isolated && find_candidate(active_) == nullptr)
    {
        use_authority(candidates_.front().address, now);
    }
}

allowance_spender::account* allowance_spender::find(std::string_view name)
{
    const auto found = accounts_.find(name);
    return found == accounts_.end() ? nullptr : &found->second;
}

allowance_spender::candidate*
allowance_spender::find_candidate(std::string_view address)
{
    const auto found = std::find_if(candidates_.begin(), candidates_.end(),
                                    [address](const candidate& item)
                                    { return item.address == address; });
    return found == candidates_.end() ? nullptr : &*found;
}

double allowance_spender::held(const account& item)
{
    double sum = 0;
    for (const auto& part : item.lots)
    {
        sum += part.tokens;
    }
    return sum;
}

void allowance_spender::expire(account& item, time_point now)
{
    std::erase_if(item.lots, [now](const lot& part)
                  { return part.expires_at <= now || part.tokens <= 0; });
}

void allowance_spender::decay_rates(account& item, time_point now)
{
    const double factor = std::exp(-seconds(now - item.measured_at) /
                                   seconds(rate_time_constant));
    item.offered_rate *= factor;
    item.granted_rate *= factor;
    item.measured_at = now;
}

bool allowance_spender::take(account& item, time_point now)
{
    expire(item, now);
    if (held(item) < one_token)
    {
        return (active_.empty() || item.unknown_to_authority) &&
               take_equal_share(item, now);
    }
    double missing = 1;
    for (auto& part : item.lots)
    {
        const double taken = std::min(missing, part.tokens);
        part.tokens -= taken;
        missing -= taken;
    }
    return true;
}

bool allowance_spender::take_equal_share(account& item, time_point now)
{
    if (node_count_ == 0)
    {
        return false;
    }
    const double share = 1 / static_cast<double>(node_count_);
    const double added =
        item.allowance.rate * share *
        seconds(std::max(now - item.own_filled_at, duration{}));
    item.own_filled_at = now;
    item.own_tokens = std::min(item.own_tokens + added,
                               std::max(1.0, item.allowance.burst * share));
    if (item.own_tokens < one_token)
    {
        return false;
    }
    item.own_tokens = std::max(0.0, item.own_tokens - 1);
    return true;
}

spend_result allowance_spender::spend(const organisation& sender,
                                      time_point now)
{
    auto* item = sender.allowance.limited() ? find(sender.name) : nullptr;
    if (item == nullptr)
    {
        return spend_result::unlimited;
    }
    decay_rates(*item, now);
    item->offered_rate += 1 / seconds(rate_time_constant);
    if (take(*item, now))
    {
        return spend_result::spent;
    }
    const bool isolated = active_.empty() && !candidates_.empty();
    const bool exhausted = item->exhausted_at && !is_settling(now) &&
                           now - *item->exhausted_at < exhausted_lifetime;
    if (isolated || exhausted)
    {
        delay_retry(*item, now);
        return spend_result::refused;
    }
    ++item->waiting;
    ++waiting_;
    return spend_result::wait;
}

bool allowance_spender::spend_for_waiting(std::string_view name, time_point now)
{
    auto* item = find(name);
    if (item == nullptr)
    {
        return true; // The limit has been removed.
    }
    if (!take(*item, now))
    {
        return false;
    }
    cancel_wait(name);
    return true;
}

void allowance_spender::cancel_wait(std::string_view name)
{
    auto* item = find(name);
    if (item != nullptr && item->waiting > 0)
    {
        --item->waiting;
        --waiting_;
    }
}

void allowance_spender::refuse_waiting(std::string_view name, time_point now)
{
    cancel_wait(name);
    if (auto* item = find(name))
    {
        delay_retry(*item, now);
    }
}

// The callers that are refused share the rate at which this node gets tokens.
void allowance_spender::delay_retry(account& item, time_point now) const
{
    decay_rates(item, now);
    const auto nodes = std::max<std::size_t>(node_count_, 1);
    const double rate = std::max(
        item.granted_rate, item.allowance.rate / static_cast<double>(nodes));
    const auto from =
        std::max({item.retry_after_until, item.next_token_at, now});
    item.retry_after_until =
        std::min(from + std::min(from_seconds(1 / rate), max_retry_after),
                 now + max_retry_after);
}

duration allowance_spender::retry_after(const organisation& sender,
                                        time_point now) const
{
    const auto found = accounts_.find(sender.name);
    if (found == accounts_.end())
    {
        return min_retry_after;
    }
    return std::max(found->second.retry_after_until - now, min_retry_after);
}

void allowance_spender::refund(std::string_view name, time_point now)
{
    if (auto* item = find(name))
    {
        item->lots.push_back({1, now + token_lifetime});
    }
}

bool allowance_spender::unanswered_for(duration limit, time_point now) const
{
    return unanswered_since_ && now - *unanswered_since_ >= limit;
}

void allowance_spender::use_authority(std::string address, time_point now)
{
    if (address == active_)
    {
        return;
    }
    if (auto* previous = find_candidate(active_))
    {
        previous->answered_at.reset(); // Until it answers a probe.
    }
    active_ = std::move(address);
    disconnected_ = false;
    authority_since_ = now;
    next_sequence_ = (((next_sequence_ >> allowance_change_shift) + 1)
                      << allowance_change_shift) +
                     1;
    unanswered_since_.reset();
    next_regular_.reset();
    sent_.clear();
    for (auto& [name, item] : accounts_)
    {
        item.own_tokens = 0;
        item.own_filled_at = now;
        item.exhausted_at.reset();
    }
}

void allowance_spender::log_authority()
{
    if (logged_authority_ == active_)
    {
        return;
    }
    logged_authority_ = active_;
    const bool is_first = active_ == candidates_.front().address;
    log(log_level::info, "allowance_authority", "role={} peer={}",
        active_.empty() ? "none"
        : is_first      ? "fleet"
                        : "domain",
        active_.empty() ? "-" : active_);
}

void allowance_spender::select_authority(time_point now)
{
    if (unanswered_since_ && now - last_check_ > pause_time)
    {
        unanswered_since_ = now;
    }
    last_check_ = now;
    const bool lost = active_.empty() || unanswered_for(authority_timeout, now);
    for (const auto& item : candidates_)
    {
        if (item.address == active_)
        {
            if (lost || disconnected_)
            {
                continue;
            }
            return;
        }
        if (item.answered_at && now - *item.answered_at < authority_timeout)
        {
            use_authority(item.address, now);
            return;
        }
    }
    if (lost)
    {
        use_authority("", now);
    }
}

std::optional<outgoing_allowance_request>
allowance_spender::next_probe(time_point now)
{
    const bool suspicious =
        active_.empty() || disconnected_ || unanswered_for(suspicion_time, now);
    for (auto& item : candidates_)
    {
        if (item.address == active_)
        {
            if (suspicious)
            {
                continue;
            }
            break; // The remaining ones are not preferred.
        }
        if (suspicious)
        {
            item.next_probe =
                std::min(item.next_probe, now + suspicious_probe_interval);
        }
        if (now >= item.next_probe)
        {
            item.next_probe =
                now + (suspicious ? suspicious_probe_interval : probe_interval);
            return outgoing_allowance_request{item.address, {}};
        }
    }
    return std::nullopt;
}

duration allowance_spender::request_interval() const
{
    return std::clamp(request_interval_per_node *
                          static_cast<long>(node_count_),
                      min_request_interval, max_request_interval);
}

bool allowance_spender::is_settling(time_point now) const
{
    return now - authority_since_ < settling_time;
}

bool allowance_spender::is_request_due(time_point now) const
{
    if (!next_regular_ || now >= *next_regular_)
    {
        return true;
    }
    if (waiting_ == 0)
    {
        return false;
    }
    const duration elapsed = now - last_request_;
    const bool awaits_answer = unanswered_since_.has_value();
    return elapsed >= (awaits_answer ? answer_time
                       : exhausted_  ? exhausted_interval
                                     : urgent_interval);
}

std::optional<outgoing_allowance_request>
allowance_spender::next_request(time_point now)
{
    if (accounts_.empty() || candidates_.empty())
    {
        return std::nullopt;
    }
    select_authority(now);
    log_authority();
    if (auto probe = next_probe(now))
    {
        return probe;
    }
    if (active_.empty() || !is_request_due(now))
    {
        return std::nullopt;
    }
    last_request_ = now;
    next_regular_ = now + request_interval();
    node_count_ = members_.count(now);
    if (!unanswered_since_)
    {
        unanswered_since_ = now;
    }
    outgoing_allowance_request result{active_, make_request(now)};
    sent_.push_back({result.request.sequence, active_, now});
    if (sent_.size() > max_sent_requests)
    {
        sent_.pop_front();
    }
    return result;
}

// Sent even without demands: it contributes this node's share of the rates.
allowance_request allowance_spender::make_request(time_point now)
{
    allowance_request request;
    request.sequence = next_sequence_++;
    for (auto& [name, item] : accounts_)
    {
        expire(item, now);
        decay_rates(item, now);
        const double owned = held(item);
        // Less than the mean, since unused tokens are lost: with few requests,
        // each of them waits for its token instead.
        const double mean = std::min(item.offered_rate, item.allowance.rate) *
                            seconds(prefetch_time);
        const double expected =
            is_settling(now) ? 0 : std::floor(mean - std::sqrt(mean));
        const double wanted =
            std::max(0.0, std::max(0.0, expected) +
                              static_cast<double>(item.waiting) - owned);
        if (wanted >= one_token || owned > 0)
        {
            request.demands.push_back(
                {item.hash, wanted, owned, item.offered_rate});
        }
    }
    return request;
}

void allowance_spender::on_grant(std::string_view peer,
                                 const allowance_grant& grant, time_point now)
{
    auto* known = find_candidate(peer);
    if (known == nullptr)
    {
        return;
    }
    known->answered_at = now;
    const auto sent = std::find_if(sent_.begin(), sent_.end(),
                                   [&](const sent_request& item) {
                                       return item.sequence == grant.sequence &&
                                              item.peer == peer;
                                   });
    if (grant.sequence == 0 || sent == sent_.end())
    {
        return;
    }
    const duration age = now - sent->sent_at;
    // Earlier requests are not answered any more, or their answers were lost.
    sent_.erase(sent_.begin(), sent + 1);
    disconnected_ = false;
    unanswered_since_.reset();
    if (age >= token_lifetime)
    {
        return;
    }
    exhausted_ = false;
    absl::flat_hash_map<std::uint64_t, const allowance_share*> shares;
    for (const auto& share : grant.shares)
    {
        shares[share.organisation] = &share;
    }
    for (auto& [name, item] : accounts_)
    {
        const auto found = shares.find(item.hash);
        if (found == shares.end())
        {
            // Asked for, but the authority's configuration has no limit yet.
            item.unknown_to_authority =
                item.unknown_to_authority || item.waiting > 0;
            continue;
        }
        item.unknown_to_authority = false;
        const auto& share = *found->second;
        decay_rates(item, now);
        if (share.tokens > 0)
        {
            item.granted_rate += share.tokens / seconds(rate_time_constant);
            item.lots.push_back({share.tokens, now + token_lifetime - age});
        }
        item.exhausted_at.reset();
        if (share.next_token > duration::zero())
        {
            exhausted_ = true;
            item.exhausted_at = now;
            item.next_token_at = now + share.next_token;
        }
    }
}

} // namespace jujubespan::mesh
