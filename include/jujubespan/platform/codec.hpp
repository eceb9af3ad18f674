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

/// @brief Parses the platform's response for one topic.
/// @param source name of the document in error messages.
absl::StatusOr<versioned_delta> parse_delta(std::string_view text,
                                            std::string_view source);

/// @brief Serializes the platform's response for one topic.
std::string format_delta(const versioned_delta& delta);

/// @brief Parses one entry of the instance list.
/// @param key id of the instance.
absl::StatusOr<instance> parse_instance(std::string_view text,
                                        std::string_view key);

/// @brief Serializes one entry of the instance list.
std::string format_instance(const instance& published_instance);

/// @brief Parses all entries of the instance list.
/// @return the instances, or an invalid-argument status that lists every
/// invalid entry.
absl::StatusOr<std::vector<instance>>
parse_instances(const versioned_map& entries);

} // namespace jujubespan::platform

#endif
