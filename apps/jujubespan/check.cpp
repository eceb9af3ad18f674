#include "command_line.hpp"

#include "jujubespan/config/contract.hpp"
#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"

#include <nlohmann/json.hpp>

namespace jujubespan::apps
{

namespace
{

absl::StatusOr<config::contract> load_contract(const std::string& path)
{
    const auto text = config::read_file(path);
    if (!text.ok())
    {
        return text.status();
    }
    return config::parse_contract(*text, path);
}

} // namespace

int check(arguments words)
{
    TCLAP::CmdLine line("Checks contracts", ' ', JUJUBESPAN_VERSION);
    TCLAP::SwitchArg json("", "json", "Print JSON", line);
    TCLAP::UnlabeledMultiArg<std::string> files(
        "contracts", "Contracts, JSON with comments", true, "file", line);
    if (const auto code = parse(line, words))
    {
        return *code;
    }
    auto document = nlohmann::json::array();
    bool good = true;
    for (const auto& path : files.getValue())
    {
        const auto terms = load_contract(path);
        good = good && terms.ok();
        const std::string message =
            terms.ok() ? std::string() : text_of(terms.status());
        document.push_back(
            {{"file", path}, {"ok", terms.ok()}, {"errors", message}});
        if (!json.getValue())
        {
            terms.ok() ? fmt::print("{}: ok\n", path)
                       : fmt::print(stderr, "{}\n", message);
        }
    }
    if (json.getValue())
    {
        fmt::print("{}\n", document.dump(2));
    }
    return good ? exit_ok : exit_failed;
}

int diff(arguments words)
{
    TCLAP::CmdLine line("Shows what a changed contract changes in force", ' ',
                        JUJUBESPAN_VERSION);
    TCLAP::SwitchArg json("", "json", "Print JSON", line);
    TCLAP::UnlabeledValueArg<std::string> before("before", "Contract in force",
                                                 true, "", "file", line);
    TCLAP::UnlabeledValueArg<std::string> after("after", "Changed contract",
                                                true, "", "file", line);
    if (const auto code = parse(line, words))
    {
        return *code;
    }
    const auto old_terms = load_contract(before.getValue());
    const auto new_terms = load_contract(after.getValue());
    if (!old_terms.ok() || !new_terms.ok())
    {
        fmt::print(stderr, "{}{}\n", text_of(old_terms.status()),
                   text_of(new_terms.status()));
        return exit_usage;
    }
    const auto lines = config::diff(*old_terms, *new_terms);
    if (json.getValue())
    {
        fmt::print("{}\n", nlohmann::json(lines).dump(2));
        return exit_ok;
    }
    for (const auto& item : lines)
    {
        fmt::print("{}\n", item);
    }
    if (lines.empty())
    {
        fmt::print("nothing changes\n");
    }
    return exit_ok;
}

} // namespace jujubespan::apps
