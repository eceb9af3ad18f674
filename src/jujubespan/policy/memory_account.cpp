#include "jujubespan/policy/memory_account.hpp"

#include <utility>

namespace jujubespan
{

memory_account::memory_account(std::size_t limit,
                               std::shared_ptr<memory_account> parent)
    : limit_(limit), parent_(std::move(parent))
{
}

memory_account::~memory_account()
{
    if (parent_)
    {
        parent_->remove(used_);
    }
}

void memory_account::add(std::size_t bytes)
{
    used_ += bytes;
    if (parent_)
    {
        parent_->add(bytes);
    }
}

void memory_account::remove(std::size_t bytes)
{
    used_ -= bytes;
    if (parent_)
    {
        parent_->remove(bytes);
    }
}

bool memory_account::has_room(std::size_t bytes) const
{
    const std::size_t used = used_;
    return used <= limit_ && bytes <= limit_ - used &&
           (!parent_ || parent_->has_room(bytes));
}

bool memory_account::make_room(std::size_t bytes)
{
    while (!has_room(bytes))
    {
        if (reclaimer_ == nullptr || !reclaimer_->reclaim())
        {
            return false;
        }
    }
    return true;
}

void memory_charge::set(std::size_t bytes)
{
    if (bytes > bytes_)
    {
        account_.add(bytes - bytes_);
    }
    else
    {
        account_.remove(bytes_ - bytes);
    }
    bytes_ = bytes;
}

} // namespace jujubespan
