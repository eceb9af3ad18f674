#include "jujubespan/policy/ticket_ledger.hpp"

#include <fmt/format.h>

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace jujubespan
{

namespace
{

// A ticket number holds the age of the ledger in milliseconds when it was
// issued, followed by a counter in its low bits.
constexpr unsigned counter_bits = 20;
constexpr std::size_t tag_bytes = 12;
constexpr char separator = '~';

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    for (auto end = text.find(separator); end != std::string_view::npos;
         end = text.find(separator, begin))
    {
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    parts.push_back(text.substr(begin));
    return parts;
}

bool parse_number(std::string_view text, std::uint64_t& value)
{
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc{} && stop == end;
}

} // namespace

std::string to_string(const ticket& value)
{
    return fmt::format("{}~{}~{}~{}", value.owner, value.incarnation,
                       value.number, value.tag);
}

std::optional<ticket> parse_ticket(std::string_view text)
{
    const auto parts = split(text);
    ticket result;
    if (parts.size() != 4 || parts[0].empty() || parts[3].empty() ||
        !parse_number(parts[1], result.incarnation) ||
        !parse_number(parts[2], result.number))
    {
        return std::nullopt;
    }
    result.owner = parts[0];
    result.tag = parts[3];
    return result;
}

ticket_ledger::ticket_ledger(std::string node, std::uint64_t incarnation,
                             std::string key, ticket_options options,
                             time_point now)
    : node_(std::move(node)), incarnation_(incarnation), key_(std::move(key)),
      options_(options), start_(now)
{
}

ticket ticket_ledger::issue_ticket(std::string_view customer, time_point now)
{
    const auto age = static_cast<std::uint64_t>(milliseconds(now - start_));
    last_number_ = std::max(last_number_ + 1, age << counter_bits);
    return {node_, incarnation_, last_number_,
            compute_tag(last_number_, customer)};
}

std::string ticket_ledger::compute_tag(std::uint64_t number,
                                       std::string_view customer) const
{
    QMessageAuthenticationCode code(QCryptographicHash::Sha256);
    code.setKey(QByteArray(key_.data(), static_cast<qsizetype>(key_.size())));
    const std::string text =
        fmt::format("{}|{}|{}", incarnation_, number, customer);
    code.addData(text.data(), static_cast<qsizetype>(text.size()));
    return code.result().left(tag_bytes).toHex().toStdString();
}

bool ticket_ledger::is_expired(std::uint64_t number, time_point now) const
{
    const auto issued_at =
        start_ + std::chrono::milliseconds(number >> counter_bits);
    return now - issued_at > options_.lifetime;
}

ticket_verdict ticket_ledger::begin_request(const ticket& presented,
                                            std::string_view customer,
                                            std::uint64_t fingerprint,
                                            time_point now)
{
    if (presented.owner != node_ || presented.incarnation != incarnation_)
    {
        return ticket_verdict::owner_gone;
    }
    if (presented.number > last_number_ ||
        presented.tag != compute_tag(presented.number, customer))
    {
        return ticket_verdict::forged;
    }
    const auto found = records_.find(presented.number);
    if (found != records_.end())
    {
        const record& entry = found->second;
        if (entry.fingerprint != fingerprint)
        {
            return ticket_verdict::mismatch;
        }
        if (!entry.completed)
        {
            return ticket_verdict::join;
        }
        return entry.response ? ticket_verdict::stored
                              : ticket_verdict::already_run;
    }
    if (is_expired(presented.number, now))
    {
        return ticket_verdict::expired;
    }
    if (records_.size() >= options_.max_records)
    {
        return ticket_verdict::full;
    }
    records_[presented.number].fingerprint = fingerprint;
    return ticket_verdict::run;
}

void ticket_ledger::complete(std::uint64_t number,
                             std::optional<http_response> response)
{
    const auto found = records_.find(number);
    if (found == records_.end() || found->second.completed)
    {
        return;
    }
    found->second.completed = true;
    by_completion_.push_back(number);
    const std::size_t bytes = response ? byte_size(*response) : 0;
    if (!response || bytes > options_.max_response_bytes)
    {
        return;
    }
    response_bytes_ += bytes;
    found->second.response =
        std::make_unique<http_response>(std::move(*response));
    numbers_with_response_.push_back(number);
    while (response_bytes_ > options_.max_response_bytes)
    {
        const auto oldest = records_.find(numbers_with_response_.front());
        numbers_with_response_.pop_front();
        if (oldest != records_.end())
        {
            drop_response(oldest->second);
        }
    }
}

void ticket_ledger::drop_response(record& entry)
{
    if (entry.response)
    {
        response_bytes_ -= byte_size(*entry.response);
        entry.response.reset();
    }
}

void ticket_ledger::release(std::uint64_t number)
{
    const auto found = records_.find(number);
    if (found != records_.end() && !found->second.completed)
    {
        records_.erase(found);
    }
}

const http_response* ticket_ledger::stored_response(std::uint64_t number) const
{
    const auto found = records_.find(number);
    return found == records_.end() ? nullptr : found->second.response.get();
}

void ticket_ledger::expire(time_point now)
{
    for (auto it = by_completion_.begin(); it != by_completion_.end();)
    {
        if (!is_expired(*it, now))
        {
            ++it;
            continue;
        }
        const auto found = records_.find(*it);
        drop_response(found->second);
        records_.erase(found);
        it = by_completion_.erase(it);
    }
}

} // namespace jujubespan
