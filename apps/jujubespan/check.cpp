#include "command_line.hpp"

#include "jujubespan/config/contract.hpp"
#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"

#include <nlohmann/json.hpp>

namespace jujubespan::apps
{

namespace
{

absl::StatusOr<config::contract> read_contract(const std::string& path)
{
    const auto text = config::read_file(path);
    if (!text.ok())
    {
        return text.status();
    }
    return config::parse_contract(*text, path);
}

} // namespace

int run_check(arguments args)
{
    TCLAP::CmdLine command_line("Checks contracts", ' ', JUJUBESPAN_VERSION);
    TCLAP::SwitchArg json("", "json", "Print JSON", command_line);
    TCLAP::UnlabeledMultiArg<std::string> files(
        "contracts", "Contract files, JSON with comments", true, "file",
        command_line);
    if (const auto code = parse_arguments(command_line, args))
    {
        return *code;
    }
    auto document = nlohmann::json::array();
    bool all_valid = true;
    for (const auto& path : files.getValue())
    {
        const auto contract = read_contract(path);
        all_valid = all_valid && contract.ok();
        const std::string message =
            contract.ok() ? std::string() : text_of(contract.status());
        document.push_back(
            {{"file", path}, {"ok", contract.ok()}, {"errors", message}});
        if (!json.getValue())
        {
            contract.ok() ? fmt::print("{}: ok\n", path)
                          : fmt::print(stderr, "{}\n", message);
        }
    }
    if (json.getValue())
    {
        fmt::print("{}\n", document.dump(2));
    }
    return all_valid ? exit_ok : exit_failed;
}

int run_diff(arguments args)
{
    TCLAP::CmdLine command_line(
        "Shows the effective changes between two versions of a contract", ' ',
        JUJUBESPAN_VERSION);
    TCLAP::SwitchArg json("", "json", "Print JSON", command_line);
    TCLAP::UnlabeledValueArg<std::string> before(
        "before", "File of the contract in force", true, "", "file",
        command_line);
    TCLAP::UnlabeledValueArg<std::string> after("after",
                                                "File of the changed contract",
                                                true, "", "file", command_line);
    if (const auto code = parse_arguments(command_line, args))
    {
        return *code;
    }
    const auto old_contract = read_contract(before.getValue());
    const auto new_contract = read_contract(after.getValue());
    if (!old_contract.ok() || !new_contract.ok())
    {
        fmt::print(stderr, "{}{}\n", text_of(old_contract.status()),
                   text_of(new_contract.status()));
        return exit_usage;
    }
    const auto changes =
        config::describe_differences(*old_contract, *new_contract);
    if (json.getValue())
    {
        fmt::print("{}\n", nlohmann::json(changes).dump(2));
        return exit_ok;
    }
    for (const auto& change : changes)
    {
        fmt::print("{}\n", change);
    }
    if (changes.empty())
    {
        fmt::print("nothing changes\n");
    }
    return exit_ok;
}

} // namespace jujubespan::apps
