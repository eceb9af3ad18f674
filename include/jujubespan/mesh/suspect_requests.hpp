#ifndef JUJUBESPAN_MESH_SUSPECT_REQUESTS_HPP
#define JUJUBESPAN_MESH_SUSPECT_REQUESTS_HPP

#include "jujubespan/mesh/request_fingerprint.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jujubespan::mesh
{

/// @brief The end of a backend server's process, as nodes report it.
struct server_end
{
    std::uint64_t id{0}; ///< Identifies this end in all reports of it.
    duration age{};      ///< Time since it happened.
    /// Requests that were running, any of which may have caused it.
    std::vector<request_fingerprint> running;
};

/// @brief A suspect that a backend server has completed.
struct suspect_completion
{
    request_fingerprint request{0};
    duration age{}; ///< Time since it was completed.
};

/// @brief What nodes tell each other about suspects.
struct suspicion_report
{
    std::vector<server_end> ends;
    std::vector<suspect_completion> completions;

    [[nodiscard]] bool empty() const
    {
        return ends.empty() && completions.empty();
    }
};

/// @brief Sends reports to other nodes.
class suspicion_port
{
public:
    virtual ~suspicion_port() = default;

    /// @brief Sends a report to all nodes. It may be lost.
    virtual void send_report(const suspicion_report& report,
                             time_point now) = 0;
};

/// @brief Whether a request may run, by the servers that ended under it.
enum class request_standing
{
    clear,
    suspected,  ///< May run, but not twice at the same time.
    isolated,   ///< May run, but not beside another isolated request.
    held,       ///< Must not run yet.
    quarantined ///< Must not run.
};

/// @brief The requests under which backend servers have ended.
///
/// Every request that was running when a server's process ended is suspected of
/// it. A completed run clears it of all earlier ends. Until then all nodes send
/// it to the same server, where it runs once at a time. After the second end it
/// is held back for some seconds, and then runs only while no other such
/// request does. After the third it is quarantined until enough of these ends
/// have expired.
///
/// Every node holds the suspects of the whole fleet. Merging reports is
/// commutative and idempotent apart from the precision of their ages, so
/// that reports may be repeated, reordered and exchanged in any direction.
class suspect_requests
{
public:
    /// @brief Adds what a node has reported, including this one.
    /// @return requests that are quarantined now and were not before.
    std::vector<request_fingerprint> merge(const suspicion_report& report,
                                           time_point now);

    /// @brief Records a completed run of a request.
    /// @return true when this cleared a suspect, which others need to know.
    bool record_completion(request_fingerprint request, time_point now);

    [[nodiscard]] request_standing standing(request_fingerprint request,
                                            time_point now) const;

    /// @brief Time until a request that is held or quarantined may run.
    [[nodiscard]] duration time_to_release(request_fingerprint request,
                                           time_point now) const;

    /// @brief Drops what has expired; to be called regularly.
    void expire(time_point now);

    /// @brief All quarantined requests with their ends, and those that were
    /// quarantined and have been completed since.
    [[nodiscard]] suspicion_report make_report(time_point now) const;

    /// @brief The same for any two nodes that quarantine the same requests.
    [[nodiscard]] std::uint64_t digest() const { return digest_; }

    [[nodiscard]] bool empty() const { return suspects_.empty(); }
    [[nodiscard]] std::size_t size() const { return suspects_.size(); }
    [[nodiscard]] std::size_t quarantined_count() const
    {
        return quarantined_count_;
    }

private:
    struct end_reference
    {
        std::uint64_t id{0};
        time_point at;
    };

    struct suspect
    {
        /// Ends since the last completion, oldest first.
        std::vector<end_reference> ends;
        time_point completed_at{};
        bool quarantined{false};
        bool was_quarantined{false};

        [[nodiscard]] time_point last_event_at() const;
    };

    bool add_end(suspect& item, end_reference end);
    bool complete(suspect& item, time_point at);
    void update_quarantine(request_fingerprint request, suspect& item);
    void make_room();

    absl::flat_hash_map<request_fingerprint, suspect> suspects_;
    std::uint64_t digest_{0};
    std::size_t quarantined_count_{0};
};

} // namespace jujubespan::mesh

#endif
