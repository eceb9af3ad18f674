#ifndef JUJUBESPAN_PLATFORM_CODEC_HPP
#define JUJUBESPAN_PLATFORM_CODEC_HPP

#include "jujubespan/policy/instance.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::platform
{

/// @brief Parses the platform's answer for one topic.
/// @param source name shown in messages.
absl::StatusOr<versioned_delta> parse_delta(std::string_view text,
                                            std::string_view source);

/// @brief The platform's answer for one topic, as stand-ins send it.
std::string format_delta(const versioned_delta& delta);

/// @brief Parses one entry of the instance list.
absl::StatusOr<instance> parse_instance(std::string_view text,
                                        std::string_view key);

/// @brief One entry of the instance list.
std::string format_instance(const instance& value);

/// @brief Parses all entries of the instance list.
/// @return an invalid-argument status that names every wrong entry.
absl::StatusOr<std::vector<instance>>
parse_instances(const versioned_map& entries);

} // namespace jujubespan::platform

#endif
