// Requests of organisations with an allowance: each takes a token, and waits
// for one if none is held.

#include "jujubespan/mesh/egress.hpp"

#include "jujubespan/metrics/log.hpp"

#include <algorithm>

namespace jujubespan::mesh
{

namespace
{

using engine::answer;
using engine::outcome;
using engine::reason;

constexpr duration max_wait = std::chrono::milliseconds(150);
// Bounds the memory that requests occupy while they wait.
constexpr std::size_t max_waiting_requests = 4096;
constexpr duration exhausted_log_interval = std::chrono::seconds(1);

} // namespace

void egress::charge_and_dispatch(open_call call, time_point now)
{
    const answer unsent = engine::make_refusal(reason::no_upstream);
    if (allowances_ == nullptr || call.sender == nullptr ||
        !call.sender->allowance.limited())
    {
        dispatch(std::move(call), unsent, now);
        return;
    }
    switch (allowances_->spend(*call.sender, now))
    {
    case spend_result::spent:
        call.charged = true;
        ++shared_.metrics.allowance_admitted;
        [[fallthrough]];
    case spend_result::unlimited:
        dispatch(std::move(call), unsent, now);
        return;
    case spend_result::refused:
        refuse_for_allowance(call, now);
        return;
    case spend_result::wait:
        break;
    }
    if (waiting_.size() >= max_waiting_requests)
    {
        allowances_->refuse_waiting(call.sender->name, now);
        refuse_for_allowance(call, now);
        return;
    }
    const auto until = std::min(now + max_wait, call.response_deadline);
    waiting_ids_[call.exchange] = next_waiting_;
    waiting_.emplace(next_waiting_++, waiting_request{std::move(call), until});
}

void egress::on_allowance_tokens(time_point now)
{
    std::vector<open_call> released;
    std::erase_if(
        waiting_,
        [&](auto& entry)
        {
            auto& call = entry.second.call;
            // One that has waited too long, after a pause, is refused.
            if (now >= entry.second.until ||
                !allowances_->spend_for_waiting(call.sender->name, now))
            {
                return false;
            }
            waiting_ids_.erase(call.exchange);
            released.push_back(std::move(call));
            return true;
        });
    for (auto& call : released)
    {
        call.charged = true;
        ++shared_.metrics.allowance_admitted;
        dispatch(std::move(call), engine::make_refusal(reason::no_upstream),
                 now);
    }
}

void egress::expire_waiting(time_point now)
{
    if (waiting_.empty())
    {
        return;
    }
    on_allowance_tokens(now); // Without an authority no grant arrives.
    std::vector<open_call> refused;
    std::erase_if(waiting_,
                  [&](auto& entry)
                  {
                      if (now < entry.second.until)
                      {
                          return false;
                      }
                      waiting_ids_.erase(entry.second.call.exchange);
                      refused.push_back(std::move(entry.second.call));
                      return true;
                  });
    for (const auto& call : refused)
    {
        allowances_->refuse_waiting(call.sender->name, now);
        refuse_for_allowance(call, now);
    }
}

void egress::remove_waiting(std::uint64_t exchange, time_point now)
{
    const auto found = waiting_ids_.find(exchange);
    if (found == waiting_ids_.end())
    {
        return;
    }
    const auto item = waiting_.find(found->second);
    const auto& call = item->second.call;
    allowances_->cancel_wait(call.sender->name);
    ++shared_.metrics.clients_disconnected;
    log(log_level::info, "client_gone",
        "request={} route={} instance={} attempts={} after_ms={}",
        call.message.request_id, call.message.route, "-", 0,
        milliseconds(now - call.received_at));
    waiting_.erase(item);
    waiting_ids_.erase(found);
}

void egress::refuse_for_allowance(const open_call& call, time_point now)
{
    ++shared_.metrics.allowance_refused;
    const auto& sender = *call.sender;
    auto refusal = engine::make_refusal(reason::allowance);
    refusal.retry_after = allowances_->retry_after(sender, now);
    const auto [logged_at, is_first] =
        allowance_logged_at_.try_emplace(sender.name, now);
    if (is_first || now - logged_at->second >= exhausted_log_interval)
    {
        logged_at->second = now;
        log(log_level::info, "allowance_exhausted",
            "organisation={} rate={} burst={} retry_after_ms={}", sender.name,
            sender.allowance.rate, sender.allowance.burst,
            milliseconds(refusal.retry_after));
    }
    refuse_request(call, refusal);
}

void egress::refund_if_not_run(const open_call& call, const answer& answer,
                               time_point now)
{
    if (call.charged && answer.result == outcome::not_run)
    {
        allowances_->refund(call.sender->name, now);
    }
}

} // namespace jujubespan::mesh
