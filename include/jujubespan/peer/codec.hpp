#ifndef JUJUBESPAN_PEER_CODEC_HPP
#define JUJUBESPAN_PEER_CODEC_HPP

#include "jujubespan/engine/call.hpp"
#include "jujubespan/mesh/allowance_messages.hpp"
#include "jujubespan/mesh/call.hpp"
#include "jujubespan/mesh/discovery_sharing.hpp"
#include "jujubespan/mesh/suspect_requests.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <optional>

namespace jujubespan::peer
{

namespace v1
{
class AllowanceGrant;
class AllowanceRequest;
class Call;
class Delta;
class Reply;
class SuspicionReport;
} // namespace v1

/// @brief Encodes a call. The deadline is sent as the remaining time, since
/// nodes do not share a clock.
void encode(const engine::peer_call& call, time_point now, v1::Call& out);

/// @brief Decodes a call.
/// @return empty if a field is missing or out of range.
std::optional<engine::peer_call> decode(const v1::Call& in, time_point now);

void encode(const engine::answer& answer, v1::Reply& out);

/// @return empty if a field is out of range.
std::optional<engine::answer> decode(const v1::Reply& in);

/// @brief Encodes a routed call. The deadline is sent as the remaining time.
void encode(const mesh::routed_call& call, time_point now, v1::Call& out);

/// @return empty if a field is out of range.
std::optional<mesh::routed_call> decode_routed(const v1::Call& in,
                                               time_point now);

void encode(const mesh::routed_reply& reply, v1::Reply& out);

/// @brief Replaces the response in a reply by an unknown outcome: the request
/// ran, and its response cannot be held until it is sent.
void remove_response(v1::Reply& reply);

/// @return empty if a field is out of range.
std::optional<mesh::routed_reply> decode_routed(const v1::Reply& in);

void encode(topic topic_id, const versioned_delta& delta, v1::Delta& out);
versioned_delta decode(const v1::Delta& in);

/// @brief Encodes an update. The confirmation is sent as its age and the time
/// of sending, since nodes do not share a clock.
void encode(const mesh::discovery_update& update, time_point now,
            v1::Delta& out);

/// @brief Decodes an update without its confirmation.
/// @return empty if the delta is not a discovery update or is inconsistent.
std::optional<mesh::discovery_update> decode_discovery(const v1::Delta& in);

/// @brief What the sender of an update states about its configuration.
struct sent_confirmation
{
    duration sent_at{}; ///< Boot clock of the sender.
    duration age{};     ///< At that time.
};

/// @return empty if the sender states nothing, as in earlier versions, or a
/// value is out of range.
std::optional<sent_confirmation> decode_confirmation(const v1::Delta& in);

void encode(const mesh::suspicion_report& report, v1::SuspicionReport& out);

/// @return empty if a list is too long.
std::optional<mesh::suspicion_report>
decode_suspicion(const v1::SuspicionReport& in);

void encode(const mesh::allowance_request& request, v1::AllowanceRequest& out);

/// @return empty if the list is too long or a number is out of range.
std::optional<mesh::allowance_request> decode(const v1::AllowanceRequest& in);

void encode(const mesh::allowance_grant& grant, v1::AllowanceGrant& out);

/// @return empty if the list is too long or a number is out of range.
std::optional<mesh::allowance_grant> decode(const v1::AllowanceGrant& in);

} // namespace jujubespan::peer

#endif
