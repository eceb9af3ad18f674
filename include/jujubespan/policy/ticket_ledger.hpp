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

/// @brief Names the only node incarnation that may run a request.
struct ticket
{
    std::string owner;            ///< Node id.
    std::uint64_t incarnation{0}; ///< Start of the owner.
    std::uint64_t number{0};      ///< Minted by the owner, never reused.
    std::string tag;              ///< Proves that the owner minted it.

    bool operator==(const ticket&) const = default;
};

/// @brief Text form: `owner~incarnation~number~tag`.
std::string to_string(const ticket& value);

/// @brief Parses the text form; empty when it is not a ticket.
std::optional<ticket> parse_ticket(std::string_view text);

/// @brief What the owner does with a request that presents a ticket.
enum class ticket_verdict
{
    run,         ///< Never seen: run it and call `complete` or `release`.
    join,        ///< In flight: wait for its answer.
    stored,      ///< Done: the stored answer stands.
    already_run, ///< Done, answer dropped.
    expired,     ///< Too old to tell whether it ran.
    mismatch,    ///< Presented before with another request.
    forged,      ///< Not minted here for this customer.
    owner_gone,  ///< Minted by an earlier incarnation of this node.
    full         ///< No room to record it; not run.
};

/// @brief Bounds of a ledger.
struct ticket_options
{
    duration lifetime{std::chrono::seconds(120)};
    std::size_t max_records{50'000};
    std::size_t max_answer_bytes{4 << 20};
};

/// @brief Records of the non-idempotent requests that one node may run.
///
/// Unused tickets cost no memory. A record outlives its ticket, so that a
/// ticket is either recorded, or provably unused, or expired.
class ticket_ledger
{
public:
    /// @param key secret of this incarnation that signs tickets.
    ticket_ledger(std::string node, std::uint64_t incarnation, std::string key,
                  ticket_options options, time_point now);

    ticket mint(std::string_view customer, time_point now);

    /// @brief Judges a request and records it when the verdict is `run`.
    /// @param fingerprint hash of the request's method, target and body.
    ticket_verdict begin_request(const ticket& presented,
                                 std::string_view customer,
                                 std::uint64_t fingerprint, time_point now);

    /// @brief Records the outcome of a request that ran or may have run.
    /// @param answer returned by `stored` while memory allows; empty when
    /// there is none to return.
    void complete(std::uint64_t number, std::optional<http_response> answer);

    /// @brief Withdraws a record: the request did not run and may be
    /// presented again.
    void release(std::uint64_t number);

    /// @brief The stored answer of a completed request, if still kept.
    [[nodiscard]] const http_response*
    stored_response(std::uint64_t number) const;

    /// @brief Drops records whose tickets have expired.
    void expire(time_point now);

    [[nodiscard]] std::size_t record_count() const { return records_.size(); }
    [[nodiscard]] std::size_t answer_bytes() const { return answer_bytes_; }

private:
    struct record
    {
        std::uint64_t fingerprint{0};
        bool done{false};
        std::unique_ptr<http_response> answer;
    };

    [[nodiscard]] std::string tag(std::uint64_t number,
                                  std::string_view customer) const;
    [[nodiscard]] bool expired(std::uint64_t number, time_point now) const;
    void drop_answer(record& entry);

    std::string node_;
    std::uint64_t incarnation_;
    std::string key_;
    ticket_options options_;
    time_point start_;
    std::uint64_t last_number_{0};
    absl::flat_hash_map<std::uint64_t, record> records_;
    std::list<std::uint64_t> by_completion_;
    std::list<std::uint64_t> answers_;
    std::size_t answer_bytes_{0};
};

} // namespace jujubespan

#endif
