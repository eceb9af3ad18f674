#ifndef JUJUBESPAN_POLICY_MEMORY_ACCOUNT_HPP
#define JUJUBESPAN_POLICY_MEMORY_ACCOUNT_HPP

#include <atomic>
#include <cstddef>
#include <memory>

namespace jujubespan
{

/// @brief Frees memory on request.
class memory_reclaimer
{
public:
    virtual ~memory_reclaimer() = default;

    /// @brief Frees the memory that is held for one client.
    /// @return false if nothing can be freed.
    virtual bool reclaim() = 0;
};

/// @brief Counts the bytes that messages occupy: received, parsed, or waiting
/// to be sent.
///
/// An account may be part of another one. Its bytes then also count there, and
/// both limits apply. Adding and removing bytes is thread-safe.
class memory_account
{
public:
    /// @param limit in bytes.
    /// @param parent null if the account is not part of another one.
    explicit memory_account(std::size_t limit,
                            std::shared_ptr<memory_account> parent = nullptr);
    ~memory_account();
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    /// @brief Adds bytes, also beyond the limit.
    void add(std::size_t bytes);
    void remove(std::size_t bytes);

    /// @brief Whether this many more bytes are within all limits.
    [[nodiscard]] bool has_room(std::size_t bytes) const;

    /// @brief Asks the reclaimer to free memory until there is room.
    /// @return false if there is too little, or no reclaimer.
    bool make_room(std::size_t bytes);

    /// @param reclaimer must outlive its use by `make_room`; null: none.
    void set_reclaimer(memory_reclaimer* reclaimer) { reclaimer_ = reclaimer; }

    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] std::size_t limit() const { return limit_; }

private:
    std::size_t limit_;
    std::shared_ptr<memory_account> parent_;
    memory_reclaimer* reclaimer_{nullptr};
    std::atomic<std::size_t> used_{0};
};

/// @brief The bytes of one holder in an account, removed on destruction.
class memory_charge
{
public:
    /// @param account must outlive the charge.
    explicit memory_charge(memory_account& account) : account_(account) {}
    ~memory_charge() { account_.remove(bytes_); }
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;

    /// @brief Replaces the number of bytes, also beyond the limit.
    void set(std::size_t bytes);

    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    memory_account& account_;
    std::size_t bytes_{0};
};

} // namespace jujubespan

#endif
