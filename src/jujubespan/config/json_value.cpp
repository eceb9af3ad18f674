#include "jujubespan/config/json_value.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace jujubespan::config
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_nesting_depth = 32;

// Counts the lines that the parser has consumed.
class line_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    line_iterator(const char* position, std::size_t* line)
        : position_(position), line_(line)
    {
    }

    reference operator*() const { return *position_; }
    line_iterator& operator++()
    {
        *line_ += *position_ == '\n' ? 1 : 0;
        ++position_;
        return *this;
    }
    line_iterator operator++(int)
    {
        auto previous = *this;
        ++*this;
        return previous;
    }
    bool operator==(const line_iterator& other) const
    {
        return position_ == other.position_;
    }

private:
    const char* position_;
    std::size_t* line_;
};

// Builds the value tree from the parser's events.
class tree_builder final : public json::json_sax_t
{
public:
    tree_builder(const std::size_t& line, diagnostics& errors)
        : line_(line), errors_(errors)
    {
    }

    bool null() override { return add_scalar(nullptr); }
    bool boolean(bool value) override { return add_scalar(value); }
    bool number_integer(number_integer_t value) override
    {
        return add_scalar(static_cast<double>(value));
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return add_scalar(static_cast<double>(value));
    }
    bool number_float(number_float_t value, const string_t& /*text*/) override
    {
        return add_scalar(value);
    }
    bool string(string_t& value) override
    {
        return add_scalar(std::move(value));
    }
    bool binary(binary_t& /*value*/) override { return false; }
    bool start_object(std::size_t /*size*/) override
    {
        return open_container(json_object{});
    }
    bool start_array(std::size_t /*size*/) override
    {
        return open_container(json_array{});
    }
    bool end_object() override { return close_container(); }
    bool end_array() override { return close_container(); }

    bool key(string_t& name) override
    {
        auto& members = std::get<json_object>(stack_.back().value.data);
        const bool is_duplicate =
            std::any_of(members.begin(), members.end(),
                        [&](const auto& item) { return item.key == name; });
        if (is_duplicate)
        {
            errors_.add(line_, name, "duplicate key");
        }
        stack_.back().key = std::move(name);
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const json::exception& error) override
    {
        std::string message = error.what();
        const auto begin = message.find("syntax error");
        message = begin == std::string::npos ? message : message.substr(begin);
        errors_.add(line_, "", std::move(message));
        return false;
    }

    std::optional<json_value> take_root() { return std::move(root_); }

private:
    struct frame
    {
        json_value value;
        std::string key;
    };

    template <typename T>
    bool add_scalar(T&& data)
    {
        attach_value(json_value{std::forward<T>(data), line_});
        return true;
    }

    template <typename T>
    bool open_container(T&& data)
    {
        if (stack_.size() >= max_nesting_depth)
        {
            errors_.add(line_, "",
                        fmt::format("values are nested more than {} levels "
                                    "deep",
                                    max_nesting_depth));
            return false;
        }
        stack_.push_back({json_value{std::forward<T>(data), line_}, {}});
        return true;
    }

    bool close_container()
    {
        json_value value = std::move(stack_.back().value);
        stack_.pop_back();
        attach_value(std::move(value));
        return true;
    }

    void attach_value(json_value value)
    {
        if (stack_.empty())
        {
            root_ = std::move(value);
            return;
        }
        frame& parent = stack_.back();
        if (auto* list = std::get_if<json_array>(&parent.value.data))
        {
            list->push_back(std::move(value));
            return;
        }
        std::get<json_object>(parent.value.data)
            .push_back({std::move(parent.key), std::move(value)});
    }

    const std::size_t& line_;
    diagnostics& errors_;
    std::vector<frame> stack_;
    std::optional<json_value> root_;
};

} // namespace

std::optional<json_value> parse_json(std::string_view text, diagnostics& errors)
{
    std::size_t line = 1;
    tree_builder builder(line, errors);
    const char* begin = text.data();
    const bool parsed = json::sax_parse(
        line_iterator(begin, &line), line_iterator(begin + text.size(), &line),
        &builder, json::input_format_t::json, true, true);
    return parsed ? builder.take_root() : std::nullopt;
}

} // namespace jujubespan::config
