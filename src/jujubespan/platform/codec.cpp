#include "jujubespan/platform/codec.hpp"

#include "jujubespan/config/object_reader.hpp"
#include "jujubespan/config/status_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jujubespan::platform
{

namespace
{

// The JSON reader represents numbers as double, which is exact for all integers
// up to this revision.
constexpr std::uint64_t max_revision = 1ULL << 52U;

} // namespace

absl::StatusOr<versioned_delta> parse_delta(std::string_view text,
                                            std::string_view source)
{
    config::diagnostics errors{std::string(source)};
    const auto document = config::parse_json(text, errors);
    if (!document)
    {
        return errors.status();
    }
    config::object_reader reader(*document, "", errors);
    versioned_delta delta;
    delta.after = reader.required_integer("after", 0, max_revision);
    delta.revision = reader.required_integer("revision", 0, max_revision);
    delta.full = reader.required_bool("full");
    const auto entries = reader.read_array("entries", true);
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        config::object_reader item(entries[i], fmt::format("entries[{}]", i),
                                   errors);
        versioned_entry entry;
        entry.key = item.required_string("key");
        entry.revision = item.required_integer("revision", 1, max_revision);
        entry.removed = item.bool_or("removed", false);
        entry.value = item.string_or("value", "");
        if (entry.revision > delta.revision)
        {
            item.add_error("revision", "exceeds the revision of the response");
        }
        item.report_unknown_keys();
        delta.entries.push_back(std::move(entry));
    }
    reader.report_unknown_keys();
    if (!errors.ok())
    {
        return errors.status();
    }
    return delta;
}

std::string format_delta(const versioned_delta& delta)
{
    nlohmann::json document = {{"after", delta.after},
                               {"revision", delta.revision},
                               {"full", delta.full},
                               {"entries", nlohmann::json::array()}};
    for (const auto& entry : delta.entries)
    {
        document["entries"].push_back({{"key", entry.key},
                                       {"revision", entry.revision},
                                       {"removed", entry.removed},
                                       {"value", entry.value}});
    }
    return document.dump();
}

absl::StatusOr<instance> parse_instance(std::string_view text,
                                        std::string_view key)
{
    config::diagnostics errors{std::string(key)};
    const auto document = config::parse_json(text, errors);
    if (!document)
    {
        return errors.status();
    }
    config::object_reader reader(*document, "", errors);
    instance parsed_instance;
    parsed_instance.id = key;
    parsed_instance.service = reader.required_string("service");
    parsed_instance.failure_domain = reader.required_string("failure_domain");
    parsed_instance.call_address = reader.required_string("call_address");
    parsed_instance.control_address = reader.required_string("control_address");
    parsed_instance.public_key = reader.string_or("public_key", "");
    parsed_instance.slots =
        static_cast<std::uint32_t>(reader.required_integer("slots", 1, 10'000));
    parsed_instance.leaving = reader.bool_or("leaving", false);
    reader.report_unknown_keys();
    if (!errors.ok())
    {
        return errors.status();
    }
    return parsed_instance;
}

std::string format_instance(const instance& published_instance)
{
    nlohmann::json document = {
        {"service", published_instance.service},
        {"failure_domain", published_instance.failure_domain},
        {"call_address", published_instance.call_address},
        {"control_address", published_instance.control_address},
        {"slots", published_instance.slots},
        {"leaving", published_instance.leaving}};
    if (!published_instance.public_key.empty())
    {
        document["public_key"] = published_instance.public_key;
    }
    return document.dump();
}

absl::StatusOr<std::vector<instance>>
parse_instances(const versioned_map& entries)
{
    std::vector<instance> instances;
    std::string errors;
    for (const auto& [key, entry] : entries.entries())
    {
        auto parsed = parse_instance(entry.value, key);
        if (parsed.ok())
        {
            instances.push_back(*std::move(parsed));
        }
        else
        {
            errors += text_of(parsed.status()) + "\n";
        }
    }
    if (!errors.empty())
    {
        return absl::InvalidArgumentError(errors);
    }
    return instances;
}

} // namespace jujubespan::platform
