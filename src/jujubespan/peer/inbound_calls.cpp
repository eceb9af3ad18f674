#include "jujubespan/peer/inbound_calls.hpp"

namespace jujubespan::peer
{

std::optional<std::uint64_t> inbound_calls::open(std::string_view peer,
                                                 std::uint64_t incarnation,
                                                 std::uint64_t call,
                                                 const route& back)
{
    auto& sender = senders_[std::string(peer)];
    if (sender.incarnation != incarnation)
    {
        sender = {incarnation, 0, back};
    }
    sender.back = back;
    if (call <= sender.last_call)
    {
        ++duplicates_;
        return std::nullopt;
    }
    sender.last_call = call;
    const std::uint64_t exchange = next_exchange_++;
    exchanges_[exchange] = {back, std::string(peer), call};
    by_call_[std::string(peer)][call] = exchange;
    return exchange;
}

std::optional<inbound_call> inbound_calls::close(std::uint64_t exchange)
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end())
    {
        return std::nullopt;
    }
    inbound_call ended = std::move(found->second);
    exchanges_.erase(found);
    const auto calls = by_call_.find(ended.peer);
    if (calls != by_call_.end())
    {
        calls->second.erase(ended.call);
    }
    return ended;
}

std::optional<std::uint64_t> inbound_calls::withdraw(std::string_view peer,
                                                     std::uint64_t call)
{
    const auto calls = by_call_.find(peer);
    if (calls == by_call_.end())
    {
        return std::nullopt;
    }
    const auto found = calls->second.find(call);
    if (found == calls->second.end())
    {
        return std::nullopt;
    }
    const std::uint64_t exchange = found->second;
    calls->second.erase(found);
    exchanges_.erase(exchange);
    return exchange;
}

string_map<route> inbound_calls::senders() const
{
    string_map<route> result;
    for (const auto& [peer, sender] : senders_)
    {
        result[peer] = sender.back;
    }
    return result;
}

} // namespace jujubespan::peer
