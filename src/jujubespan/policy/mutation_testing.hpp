#ifndef JUJUBESPAN_POLICY_MUTATION_TESTING_HPP
#define JUJUBESPAN_POLICY_MUTATION_TESTING_HPP

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace jujubespan::testing
{

/// @brief Makes damaged copies of a message: bytes are changed, removed,
/// repeated, inserted or cut off. The same seed makes the same copies.
class mutator
{
public:
    explicit mutator(std::uint64_t seed) : random_(seed) {}

    [[nodiscard]] std::string operator()(std::string message)
    {
        const auto changes = draw(4) + 1;
        for (std::size_t i = 0; i < changes; ++i)
        {
            change(message);
        }
        return message;
    }

    [[nodiscard]] std::size_t draw(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          bound - 1)(random_);
    }

private:
    void change(std::string& message)
    {
        const auto position = draw(message.size() + 1);
        const auto length = draw(8) + 1;
        switch (draw(6))
        {
        case 0:
            message.resize(position);
            return;
        case 1:
            message.erase(position, length);
            return;
        case 2:
            message.insert(position, message.substr(position, length));
            return;
        case 3:
            message.insert(position, length, static_cast<char>(draw(256)));
            return;
        case 4: // Digits make numbers out of range.
            message.insert(position, length * 3, '9');
            return;
        default:
            if (position < message.size())
            {
                message[position] = static_cast<char>(draw(256));
            }
            return;
        }
    }

    std::mt19937_64 random_;
};

inline constexpr int mutations_per_message = 4000;

} // namespace jujubespan::testing

#endif
