#ifndef JUJUBESPAN_POLICY_TICKET_LEDGER_HPP
#define JUJUBESPAN_POLICY_TICKET_LEDGER_HPP

#include "jujubespan/policy/http_message.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jujubespan
{

/// @brief Identifies a request and the only node incarnation that may run it.
struct ticket
{
    std::string owner;            ///< Node id.
    std::uint64_t incarnation{0}; ///< Changes at each start of the owner.
    std::uint64_t number{0};      ///< Assigned by the owner, never reused.
    std::string tag;              ///< Proves that the owner issued it.

    bool operator==(const ticket&) const = default;
};

/// @brief Text form: `owner~incarnation~number~tag`.
std::string to_string(const ticket& value);

/// @brief Parses the text form; empty when it is not a ticket.
std::optional<ticket> parse_ticket(std::string_view text);

/// @brief What the owner does with a request that presents a ticket.
enum class ticket_verdict
{
    run,         ///< First use: run it and call `complete` or `release`.
    join,        ///< Running: wait for its response.
    stored,      ///< Completed: return the stored response.
    already_run, ///< Completed; the response is not stored.
    expired,     ///< Too old to tell whether it ran.
    mismatch,    ///< Used before for another request.
    forged,      ///< Not issued here for this customer.
    owner_gone,  ///< Issued by an earlier incarnation of this node.
    full         ///< No room for a record; not run.
};

/// @brief Limits of a ticket ledger.
struct ticket_options
{
    duration lifetime{std::chrono::seconds(120)};
    std::size_t max_records{50'000};
    std::size_t max_response_bytes{4 << 20};
};

/// @brief Records of the non-idempotent requests that one node may run.
///
/// A ticket takes no memory until it is used. A record is kept at least until
/// its ticket expires, so that a ticket without a record is either unused or
/// expired.
class ticket_ledger
{
public:
    /// @param key secret with which this incarnation signs tickets.
    ticket_ledger(std::string node, std::uint64_t incarnation, std::string key,
                  ticket_options options, time_point now);

    /// @brief Creates a ticket for one request of a customer.
    ticket issue_ticket(std::string_view customer, time_point now);

    /// @brief Checks the ticket of a request and records the request when the
    /// verdict is `run`.
    /// @param fingerprint hash of the request's method, target and body.
    ticket_verdict begin_request(const ticket& presented,
                                 std::string_view customer,
                                 std::uint64_t fingerprint, time_point now);

    /// @brief Records the outcome of a request that ran or may have run.
    /// @param response kept for `stored_response` while memory allows; empty
    /// when there is none.
    void complete(std::uint64_t number, std::optional<http_response> response);

    /// @brief Removes the record of a request that did not run, so that its
    /// ticket may be used again.
    void release(std::uint64_t number);

    /// @brief The stored response of a completed request; null when it is not
    /// stored.
    [[nodiscard]] const http_response*
    stored_response(std::uint64_t number) const;

    /// @brief Removes records of completed requests whose tickets have expired.
    void expire(time_point now);

    [[nodiscard]] std::size_t record_count() const { return records_.size(); }
    [[nodiscard]] std::size_t response_bytes() const { return response_bytes_; }

private:
    struct record
    {
        std::uint64_t fingerprint{0};
        bool completed{false};
        std::unique_ptr<http_response> response;
    };

    [[nodiscard]] std::string compute_tag(std::uint64_t number,
                                          std::string_view customer) const;
    [[nodiscard]] bool is_expired(std::uint64_t number, time_point now) const;
    void drop_response(record& entry);

    std::string node_;
    std::uint64_t incarnation_;
    std::string key_;
    ticket_options options_;
    time_point start_;
    std::uint64_t last_number_{0};
    absl::flat_hash_map<std::uint64_t, record> records_;
    std::list<std::uint64_t> by_completion_;
    std::list<std::uint64_t> numbers_with_response_;
    std::size_t response_bytes_{0};
};

} // namespace jujubespan

#endif
