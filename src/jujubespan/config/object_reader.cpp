#include "jujubespan/config/object_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace jujubespan::config
{

object_reader::object_reader(const json_value& value, std::string path,
                             diagnostics& errors)
    : object_(std::get_if<json_object>(&value.data)), line_(value.line),
      path_(std::move(path)), errors_(errors)
{
    if (object_ == nullptr)
    {
        errors_.add(line_, path_, "must be an object");
    }
}

std::string object_reader::field_path(std::string_view key) const
{
    return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

bool object_reader::has_field(std::string_view key) const
{
    return object_ != nullptr &&
           std::any_of(object_->begin(), object_->end(),
                       [key](const auto& item) { return item.key == key; });
}

const json_value* object_reader::find_field(std::string_view key)
{
    requested_keys_.emplace_back(key);
    if (object_ == nullptr)
    {
        return nullptr;
    }
    const auto found =
        std::find_if(object_->begin(), object_->end(),
                     [key](const auto& item) { return item.key == key; });
    return found == object_->end() ? nullptr : &found->value;
}

const json_value* object_reader::require_field(std::string_view key)
{
    const json_value* value = find_field(key);
    if (value == nullptr && object_ != nullptr)
    {
        errors_.add(line_, field_path(key), "is missing");
    }
    return value;
}

void object_reader::add_error(std::string_view key, std::string message)
{
    std::size_t line = line_;
    if (object_ != nullptr)
    {
        for (const auto& [name, value] : *object_)
        {
            line = name == key ? value.line : line;
        }
    }
    errors_.add(line, field_path(key), std::move(message));
}

template <typename T>
const T* object_reader::value_as(const json_value* value, std::string_view key,
                                 std::string_view type)
{
    if (value == nullptr)
    {
        return nullptr;
    }
    const T* data = std::get_if<T>(&value->data);
    if (data == nullptr)
    {
        errors_.add(value->line, field_path(key),
                    fmt::format("must be {}", type));
    }
    return data;
}

std::string object_reader::required_string(std::string_view key)
{
    const auto* data =
        value_as<std::string>(require_field(key), key, "a string");
    if (data != nullptr && data->empty())
    {
        add_error(key, "must not be empty");
    }
    return data == nullptr ? std::string() : *data;
}

std::string object_reader::string_or(std::string_view key,
                                     std::string_view fallback)
{
    const auto* data = value_as<std::string>(find_field(key), key, "a string");
    return data == nullptr ? std::string(fallback) : *data;
}

bool object_reader::bool_or(std::string_view key, bool fallback)
{
    const auto* data = value_as<bool>(find_field(key), key, "true or false");
    return data == nullptr ? fallback : *data;
}

bool object_reader::required_bool(std::string_view key)
{
    const auto* data = value_as<bool>(require_field(key), key, "true or false");
    return data != nullptr && *data;
}

double object_reader::checked_number(const json_value* value,
                                     std::string_view key, double fallback,
                                     double low, double high)
{
    const auto* data = value_as<double>(value, key, "a number");
    if (data == nullptr)
    {
        return fallback;
    }
    if (!(*data >= low && *data <= high))
    {
        add_error(key, fmt::format("{} is not a number from {} to {}", *data,
                                   low, high));
        return fallback;
    }
    return *data;
}

double object_reader::required_number(std::string_view key, double low,
                                      double high)
{
    return checked_number(require_field(key), key, low, low, high);
}

double object_reader::number_or(std::string_view key, double fallback,
                                double low, double high)
{
    return checked_number(find_field(key), key, fallback, low, high);
}

std::uint64_t object_reader::checked_integer(const json_value* value,
                                             std::string_view key,
                                             std::uint64_t fallback,
                                             std::uint64_t low,
                                             std::uint64_t high)
{
    const auto* data = value_as<double>(value, key, "an integer");
    if (data == nullptr)
    {
        return fallback;
    }
    const bool in_range =
        *data >= static_cast<double>(low) && *data <= static_cast<double>(high);
    if (!in_range || std::floor(*data) != *data)
    {
        add_error(key, fmt::format("{} is not an integer from {} to {}", *data,
                                   low, high));
        return fallback;
    }
    return static_cast<std::uint64_t>(*data);
}

std::uint64_t object_reader::integer_or(std::string_view key,
                                        std::uint64_t fallback,
                                        std::uint64_t low, std::uint64_t high)
{
    return checked_integer(find_field(key), key, fallback, low, high);
}

std::uint64_t object_reader::required_integer(std::string_view key,
                                              std::uint64_t low,
                                              std::uint64_t high)
{
    return checked_integer(require_field(key), key, low, low, high);
}

duration object_reader::milliseconds_or(std::string_view key,
                                        std::uint64_t fallback,
                                        std::uint64_t low, std::uint64_t high)
{
    return std::chrono::milliseconds(integer_or(key, fallback, low, high));
}

std::vector<std::string> object_reader::strings_or_empty(std::string_view key)
{
    std::vector<std::string> result;
    std::size_t index = 0;
    for (const auto& item : read_array(key, false))
    {
        const auto name = fmt::format("{}[{}]", key, index++);
        const auto* text = value_as<std::string>(&item, name, "a string");
        if (text != nullptr)
        {
            result.push_back(*text);
        }
    }
    return result;
}

std::span<const json_value> object_reader::read_array(std::string_view key,
                                                      bool required)
{
    const auto* data = value_as<json_array>(
        required ? require_field(key) : find_field(key), key, "an array");
    return data == nullptr ? std::span<const json_value>() : *data;
}

std::span<const json_member> object_reader::read_object(std::string_view key)
{
    const auto* data = value_as<json_object>(find_field(key), key, "an object");
    return data == nullptr ? std::span<const json_member>() : *data;
}

void object_reader::report_unknown_keys()
{
    if (object_ == nullptr)
    {
        return;
    }
    for (const auto& [name, value] : *object_)
    {
        if (std::find(requested_keys_.begin(), requested_keys_.end(), name) ==
            requested_keys_.end())
        {
            errors_.add(value.line, field_path(name),
                        fmt::format("is not a known key; known are {}",
                                    fmt::join(requested_keys_, ", ")));
        }
    }
}

} // namespace jujubespan::config
