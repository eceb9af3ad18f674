#include "jujubespan/config/contract.hpp"

#include "jujubespan/config/object_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace jujubespan::config
{

namespace
{

constexpr double max_requests_per_second = 1'000'000;
constexpr std::uint64_t max_retry_credits = 16;
constexpr std::uint64_t max_depth_limit = 64;
constexpr std::uint64_t max_deadline_ms = 300'000;
constexpr std::uint64_t max_burst_ms = 10'000;
constexpr double share_tolerance = 1e-6;
constexpr std::size_t max_name_length = 64;

constexpr std::array<std::string_view, 7> http_methods{
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
constexpr std::array<std::string_view, 3> safe_http_methods{"GET", "HEAD",
                                                            "OPTIONS"};

template <std::size_t N>
bool contains(const std::array<std::string_view, N>& set,
              std::string_view value)
{
    return std::find(set.begin(), set.end(), value) != set.end();
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= '0' && c <= '9') || c == '-' ||
                                  c == '_' || c == '.';
                       });
}

void check_name(object_reader& reader, std::string_view key,
                std::string_view value)
{
    if (!value.empty() && !is_name(value))
    {
        reader.add_error(key,
                         fmt::format("\"{}\" must be 1 to {} characters of "
                                     "a-z, 0-9, '-', '_' and '.'",
                                     value, max_name_length));
    }
}

method_rule read_method(const json_value& value, std::string path,
                        diagnostics& errors)
{
    object_reader reader(value, std::move(path), errors);
    method_rule rule;
    rule.service = reader.required_string("service");
    check_name(reader, "service", rule.service);
    rule.http_method = reader.required_string("method");
    if (!rule.http_method.empty() && !contains(http_methods, rule.http_method))
    {
        reader.add_error("method", fmt::format("\"{}\" is not one of {}",
                                               rule.http_method,
                                               fmt::join(http_methods, ", ")));
    }
    rule.path = reader.required_string("path");
    const auto wildcard = rule.path.find('*');
    const bool has_inner_wildcard =
        wildcard != std::string::npos && wildcard + 1 != rule.path.size();
    if (!rule.path.empty() && (rule.path.front() != '/' || has_inner_wildcard))
    {
        reader.add_error("path",
                         fmt::format("\"{}\" must begin with '/' and may "
                                     "have '*' only at its end",
                                     rule.path));
    }
    const auto name = reader.required_string("class");
    const auto cls = parse_request_class(name);
    if (!name.empty() && !cls)
    {
        reader.add_error("class",
                         fmt::format("\"{}\" is not one of critical, "
                                     "normal, sheddable_plus, sheddable",
                                     name));
    }
    rule.cls = cls.value_or(request_class::normal);
    rule.idempotent = reader.required_bool("idempotent");
    if (reader.has_field("idempotent") && !rule.idempotent &&
        contains(safe_http_methods, rule.http_method))
    {
        reader.add_error("idempotent",
                         fmt::format("{} is idempotent by definition; use POST "
                                     "for requests that must not be repeated",
                                     rule.http_method));
    }
    rule.deadline = std::chrono::milliseconds(
        reader.required_integer("deadline_ms", 1, max_deadline_ms));
    rule.entry = reader.bool_or("entry", true);
    rule.calls = reader.strings_or_empty("calls");
    reader.report_unknown_keys();
    return rule;
}

void check_calls(const contract& value, std::span<const json_value> source,
                 diagnostics& errors)
{
    const auto find_method = [&](const std::string& id)
    {
        return std::find_if(value.methods.begin(), value.methods.end(),
                            [&](const auto& m) { return m.id() == id; });
    };
    for (std::size_t i = 0; i < value.methods.size(); ++i)
    {
        const auto& rule = value.methods[i];
        for (const auto& id : rule.calls)
        {
            const auto callee = find_method(id);
            const auto key = fmt::format("methods[{}].calls", i);
            const auto line = source[i].line;
            if (callee == value.methods.end())
            {
                errors.add(line, key,
                           fmt::format("\"{}\" is not a method of this "
                                       "contract",
                                       id));
            }
            else if (rule.idempotent && !callee->idempotent)
            {
                errors.add(line, key,
                           fmt::format("\"{}\" is not idempotent, but the "
                                       "idempotent method \"{}\" that calls "
                                       "it may be retried",
                                       id, rule.id()));
            }
        }
    }
}

void check_duplicates(const contract& value, std::span<const json_value> source,
                      diagnostics& errors)
{
    std::set<std::string> seen_ids;
    for (std::size_t i = 0; i < value.methods.size(); ++i)
    {
        const auto id = value.methods[i].id();
        if (!seen_ids.insert(id).second)
        {
            errors.add(source[i].line, fmt::format("methods[{}]", i),
                       fmt::format("\"{}\" is already a method of this "
                                   "contract",
                                   id));
        }
    }
}

void read_domain_shares(contract& value, object_reader& reader)
{
    double sum = 0;
    for (const auto& [domain, share] : reader.read_object("domain_shares"))
    {
        const auto* number = std::get_if<double>(&share.data);
        const auto key = fmt::format("domain_shares.{}", domain);
        if (number == nullptr || *number < 0 || *number > 1)
        {
            reader.add_error(key, "must be a number from 0 to 1");
            continue;
        }
        value.domain_shares[domain] = *number;
        sum += *number;
    }
    if (!value.domain_shares.empty() && std::abs(sum - 1) > share_tolerance)
    {
        reader.add_error("domain_shares",
                         fmt::format("the shares add up to {}, not 1", sum));
    }
}

template <typename T>
void add_change(std::vector<std::string>& lines, std::string_view name,
                const T& before, const T& after)
{
    if (before != after)
    {
        lines.push_back(fmt::format("{}: {} -> {}", name, before, after));
    }
}

std::string describe_rule(const method_rule& rule)
{
    return fmt::format(
        "class {}, {}, {}, deadline {} ms, calls [{}]", to_string(rule.cls),
        rule.idempotent ? "idempotent" : "not idempotent",
        rule.entry ? "entry" : "internal", milliseconds(rule.deadline),
        fmt::join(rule.calls, "; "));
}

} // namespace

std::string method_rule::id() const
{
    return fmt::format("{} {} {}", service, http_method, path);
}

std::vector<std::string> contract::entry_services() const
{
    std::set<std::string> services;
    for (const auto& rule : methods)
    {
        if (rule.entry)
        {
            services.insert(rule.service);
        }
    }
    return {services.begin(), services.end()};
}

const method_rule* contract::find_rule(std::string_view service,
                                       std::string_view http_method,
                                       std::string_view path) const
{
    const method_rule* longest_match = nullptr;
    for (const auto& rule : methods)
    {
        if (rule.service != service || rule.http_method != http_method)
        {
            continue;
        }
        if (rule.path == path)
        {
            return &rule;
        }
        const bool is_prefix_match =
            rule.path.ends_with('*') &&
            path.starts_with(
                std::string_view(rule.path).substr(0, rule.path.size() - 1));
        if (is_prefix_match && (longest_match == nullptr ||
                                rule.path.size() > longest_match->path.size()))
        {
            longest_match = &rule;
        }
    }
    return longest_match;
}

absl::StatusOr<contract> parse_contract(std::string_view text,
                                        std::string_view file)
{
    diagnostics errors{std::string(file)};
    const auto document = parse_json(text, errors);
    if (!document)
    {
        return errors.status();
    }
    object_reader reader(*document, "", errors);
    contract value;
    value.customer = reader.required_string("customer");
    check_name(reader, "customer", value.customer);
    value.requests_per_second = reader.required_number(
        "requests_per_second", 0.01, max_requests_per_second);
    value.burst = reader.milliseconds_or("burst_ms", 1000, 1, max_burst_ms);
    value.retry_credits = static_cast<std::uint32_t>(
        reader.integer_or("retry_credits", 2, 0, max_retry_credits));
    value.caller_retry_ratio =
        reader.number_or("caller_retry_ratio", 0.1, 0, 1);
    value.max_depth = static_cast<std::uint32_t>(
        reader.integer_or("max_depth", 25, 1, max_depth_limit));
    value.require_ticket = reader.bool_or("require_ticket", false);
    read_domain_shares(value, reader);
    const auto methods = reader.read_array("methods", true);
    for (std::size_t i = 0; i < methods.size(); ++i)
    {
        value.methods.push_back(
            read_method(methods[i], fmt::format("methods[{}]", i), errors));
    }
    check_duplicates(value, methods, errors);
    check_calls(value, methods, errors);
    reader.report_unknown_keys();
    if (!errors.ok())
    {
        return errors.status();
    }
    return value;
}

std::vector<std::string> describe_differences(const contract& before,
                                              const contract& after)
{
    std::vector<std::string> lines;
    add_change(lines, "customer", before.customer, after.customer);
    add_change(lines, "requests_per_second", before.requests_per_second,
               after.requests_per_second);
    add_change(lines, "burst_ms", milliseconds(before.burst),
               milliseconds(after.burst));
    add_change(lines, "retry_credits", before.retry_credits,
               after.retry_credits);
    add_change(lines, "caller_retry_ratio", before.caller_retry_ratio,
               after.caller_retry_ratio);
    add_change(lines, "max_depth", before.max_depth, after.max_depth);
    add_change(lines, "require_ticket", before.require_ticket,
               after.require_ticket);
    std::set<std::string> domains;
    for (const auto* version : {&before, &after})
    {
        for (const auto& [domain, share] : version->domain_shares)
        {
            domains.insert(domain);
        }
    }
    const auto share_of = [](const contract& c, const std::string& domain)
    {
        const auto found = c.domain_shares.find(domain);
        return found == c.domain_shares.end()
                   ? std::string("equal")
                   : fmt::format("{}", found->second);
    };
    for (const auto& domain : domains)
    {
        add_change(lines, fmt::format("domain_shares.{}", domain),
                   share_of(before, domain), share_of(after, domain));
    }
    const auto find_method = [](const contract& c, const std::string& id)
    {
        const auto found =
            std::find_if(c.methods.begin(), c.methods.end(),
                         [&](const auto& m) { return m.id() == id; });
        return found == c.methods.end() ? nullptr : &*found;
    };
    for (const auto& rule : before.methods)
    {
        const auto* changed = find_method(after, rule.id());
        if (changed == nullptr)
        {
            lines.push_back(fmt::format("{}: removed", rule.id()));
        }
        else if (!(rule == *changed))
        {
            lines.push_back(fmt::format("{}: {} -> {}", rule.id(),
                                        describe_rule(rule),
                                        describe_rule(*changed)));
        }
    }
    for (const auto& rule : after.methods)
    {
        if (find_method(before, rule.id()) == nullptr)
        {
            lines.push_back(
                fmt::format("{}: added, {}", rule.id(), describe_rule(rule)));
        }
    }
    return lines;
}

} // namespace jujubespan::config
