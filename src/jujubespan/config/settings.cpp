#include "jujubespan/config/settings.hpp"

#include "jujubespan/config/field_readers.hpp"
#include "jujubespan/config/object_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace jujubespan::config
{

namespace
{

constexpr std::size_t z85_key_length = 40;

resource_limits read_resource_limits(object_reader& reader)
{
    resource_limits value;
    value.max_body_bytes =
        reader.integer_or("max_body_bytes", 1 << 20, 1024, 16 << 20);
    value.max_header_bytes =
        reader.integer_or("max_header_bytes", 16 << 10, 1024, 256 << 10);
    value.max_buffered_bytes =
        reader.integer_or("max_buffered_bytes", 16 << 20, 1 << 20, 1 << 30);
    value.max_connections =
        reader.integer_or("max_connections", 1400, 1, 20'000);
    value.max_in_flight = reader.integer_or("max_in_flight", 2048, 1, 20'000);
    value.max_queue = reader.integer_or("max_queue", 512, 4, 10'000);
    value.idle_timeout =
        reader.milliseconds_or("idle_timeout_ms", 60'000, 100, 3'600'000);
    value.receive_timeout =
        reader.milliseconds_or("receive_timeout_ms", 10'000, 100, 300'000);
    if (value.max_body_bytes > value.max_buffered_bytes)
    {
        reader.add_error("max_body_bytes",
                         fmt::format("{} exceeds max_buffered_bytes, {}",
                                     value.max_body_bytes,
                                     value.max_buffered_bytes));
    }
    return value;
}

void check_key_length(object_reader& reader, std::string_view key,
                      std::string_view value)
{
    if (!value.empty() && value.size() != z85_key_length)
    {
        reader.add_error(key, fmt::format("must be a key of {} Z85 characters",
                                          z85_key_length));
    }
}

peer_keys read_peer_keys(object_reader& reader)
{
    peer_keys value;
    value.public_key = reader.string_or("peer_public_key", "");
    value.secret_key = reader.string_or("peer_secret_key", "");
    value.trusted_keys = reader.strings_or_empty("peer_trusted_keys");
    check_key_length(reader, "peer_public_key", value.public_key);
    check_key_length(reader, "peer_secret_key", value.secret_key);
    for (const auto& key : value.trusted_keys)
    {
        check_key_length(reader, "peer_trusted_keys", key);
    }
    if (value.public_key.empty() != value.secret_key.empty())
    {
        reader.add_error("peer_public_key",
                         "must be set together with peer_secret_key");
    }
    if (value.encryption_enabled() && value.trusted_keys.empty())
    {
        reader.add_error(
            "peer_trusted_keys",
            "must name at least one key when peer_public_key is set");
    }
    return value;
}

std::vector<seed_node> read_seeds(object_reader& reader)
{
    std::vector<seed_node> seeds;
    for (const auto& text : reader.strings_or_empty("seeds"))
    {
        const auto separator = text.find('@');
        const auto value =
            separator == std::string::npos
                ? std::nullopt
                : parse_endpoint(std::string_view(text).substr(separator + 1));
        if (!value || separator == 0)
        {
            reader.add_error("seeds",
                             fmt::format("\"{}\" must be a node id, '@', an IP "
                                         "address, ':' and a port",
                                         text));
            continue;
        }
        seeds.push_back({text.substr(0, separator), *value});
    }
    return seeds;
}

void check_failure_domain(object_reader& reader, const settings& value)
{
    const auto& all = value.failure_domains;
    if (std::find(all.begin(), all.end(), value.failure_domain) == all.end())
    {
        reader.add_error("failure_domains",
                         fmt::format("must contain the failure_domain \"{}\"",
                                     value.failure_domain));
    }
}

} // namespace

absl::StatusOr<settings> parse_settings(std::string_view text,
                                        std::string_view file)
{
    diagnostics errors{std::string(file)};
    const auto document = parse_json(text, errors);
    if (!document)
    {
        return errors.status();
    }
    object_reader reader(*document, "", errors);
    settings value;
    value.id = reader.required_string("id");
    if (value.id.find('~') != std::string::npos)
    {
        reader.add_error("id", "must not contain '~'");
    }
    value.service = reader.required_string("service");
    value.failure_domain = reader.required_string("failure_domain");
    value.failure_domains = reader.strings_or_empty("failure_domains");
    check_failure_domain(reader, value);
    value.caller_address = read_endpoint(reader, "caller_address");
    value.outbound_address = read_endpoint(reader, "outbound_address");
    value.call_address = read_endpoint(reader, "call_address");
    value.control_address = read_endpoint(reader, "control_address");
    value.operators_address = read_endpoint(reader, "operators_address");
    value.backend_address = read_endpoint(reader, "backend_address");
    value.platform_address = read_endpoint(reader, "platform_address");
    value.seeds = read_seeds(reader);
    value.slots =
        static_cast<std::uint32_t>(reader.required_integer("slots", 1, 10'000));
    value.protection = reader.bool_or("protection", true);
    value.cold_start = reader.milliseconds_or("cold_start_ms", 0, 0, 600'000);
    value.queue_wait = reader.milliseconds_or("queue_wait_ms", 100, 1, 10'000);
    value.drain_timeout =
        reader.milliseconds_or("drain_timeout_ms", 30'000, 100, 600'000);
    value.list_lag =
        reader.milliseconds_or("list_lag_ms", 11'000, 100, 3'600'000);
    value.readers = reader.integer_or("readers", 2, 1, 16);
    value.subset_size = reader.integer_or("subset_size", 8, 2, 256);
    value.log_level = read_log_level(reader);
    value.limits = read_resource_limits(reader);
    value.keys = read_peer_keys(reader);
    reader.report_unknown_keys();
    if (!errors.ok())
    {
        return errors.status();
    }
    return value;
}

absl::StatusOr<std::string> read_file(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
    {
        return absl::NotFoundError(
            fmt::format("{}: the file cannot be opened", path));
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace jujubespan::config
