#include "jujubespan/peer/inbound_calls.hpp"

namespace jujubespan::peer
{

std::optional<std::uint64_t>
inbound_calls::open_exchange(std::string_view peer, std::uint64_t incarnation,
                             std::uint64_t call_id, const routing_id& reply_to)
{
    auto& sender = senders_[std::string(peer)];
    if (sender.incarnation != incarnation)
    {
        sender = {incarnation, 0, reply_to};
    }
    sender.reply_to = reply_to;
    if (call_id <= sender.last_call_id)
    {
        ++duplicate_calls_;
        return std::nullopt;
    }
    sender.last_call_id = call_id;
    const std::uint64_t exchange = next_exchange_++;
    exchanges_[exchange] = {reply_to, std::string(peer), call_id};
    exchanges_by_call_[std::string(peer)][call_id] = exchange;
    return exchange;
}

std::optional<inbound_call>
inbound_calls::close_exchange(std::uint64_t exchange)
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end())
    {
        return std::nullopt;
    }
    inbound_call ended = std::move(found->second);
    exchanges_.erase(found);
    const auto calls = exchanges_by_call_.find(ended.peer);
    if (calls != exchanges_by_call_.end())
    {
        calls->second.erase(ended.call_id);
    }
    return ended;
}

std::optional<std::uint64_t>
inbound_calls::cancel_exchange(std::string_view peer, std::uint64_t call_id)
{
    const auto calls = exchanges_by_call_.find(peer);
    if (calls == exchanges_by_call_.end())
    {
        return std::nullopt;
    }
    const auto found = calls->second.find(call_id);
    if (found == calls->second.end())
    {
        return std::nullopt;
    }
    const std::uint64_t exchange = found->second;
    calls->second.erase(found);
    exchanges_.erase(exchange);
    return exchange;
}

string_map<routing_id> inbound_calls::sender_routing_ids() const
{
    string_map<routing_id> result;
    for (const auto& [peer, sender] : senders_)
    {
        result[peer] = sender.reply_to;
    }
    return result;
}

} // namespace jujubespan::peer
