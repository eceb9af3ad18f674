// Prints the mean heap memory of one item of each kind of state, measured with
// different numbers of items.

#include "jujubespan/engine/customer_guard.hpp"
#include "jujubespan/engine/engine_metrics.hpp"
#include "jujubespan/policy/level_table.hpp"
#include "jujubespan/policy/ticket_ledger.hpp"
#include "jujubespan/policy/upstream_set.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <fmt/format.h>

#include <functional>
#include <malloc.h>

namespace
{

using namespace jujubespan;

constexpr std::array<int, 3> item_counts{100, 1000, 10'000};
const time_point now(std::chrono::seconds(1000));

std::size_t heap_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Prints a table row with the mean heap bytes of an item for each item count.
// make_items(n) returns an object that holds n items.
void print_row(std::string_view name,
               const std::function<std::shared_ptr<void>(int)>& make_items)
{
    fmt::print("| {} |", name);
    for (const int item_count : item_counts)
    {
        const auto before = heap_bytes();
        const auto items = make_items(item_count);
        fmt::print(" {} |", (heap_bytes() - before) /
                                static_cast<std::size_t>(item_count));
    }
    fmt::print("\n");
}

std::shared_ptr<void> make_tickets(int count)
{
    auto ledger = std::make_shared<ticket_ledger>("node-1", 1, "key",
                                                  ticket_options{}, now);
    for (int i = 0; i < count; ++i)
    {
        const auto used_ticket = ledger->issue_ticket("acme", now);
        ledger->begin_request(used_ticket, "acme", 1, now);
        ledger->complete(used_ticket.number, std::nullopt);
    }
    return ledger;
}

std::shared_ptr<void> make_customers(int count)
{
    auto guard = std::make_shared<engine::customer_guard>(
        "a-1", "d-1", 1, std::chrono::seconds(11));
    for (int i = 0; i < count; ++i)
    {
        config::contract customer_contract;
        customer_contract.customer = fmt::format("customer-{}", i);
        customer_contract.requests_per_second = 1;
        customer_contract.burst = std::chrono::seconds(1);
        guard->admit(customer_contract, false, now);
    }
    return guard;
}

std::shared_ptr<void> make_histograms(int count)
{
    auto metrics = std::make_shared<engine::engine_metrics>();
    for (int i = 0; i < count; ++i)
    {
        metrics->latency[{fmt::format("customer-{}", i), request_class::normal}]
            .add(std::chrono::milliseconds(3));
    }
    return metrics;
}

std::shared_ptr<void> make_upstreams(int count)
{
    auto upstreams =
        std::make_shared<upstream_set>("me", "d-1", routing_options{});
    std::vector<instance> instances(static_cast<std::size_t>(count));
    for (std::size_t i = 0; i < instances.size(); ++i)
    {
        instances[i].id = fmt::format("service-{}", i);
        instances[i].service = "service";
        instances[i].failure_domain = "d-1";
        instances[i].call_address = "127.0.0.1:23456";
        instances[i].control_address = "127.0.0.1:23457";
    }
    upstreams->apply(instances, false, now);
    return upstreams;
}

std::shared_ptr<void> make_levels(int count)
{
    auto table = std::make_shared<level_table>();
    for (int i = 0; i < count; ++i)
    {
        const std::vector<service_level> downstream_levels{
            {fmt::format("service-{}", i % 73), 100}};
        table->record_levels(fmt::format("shop GET /method-{}", i),
                             downstream_levels, now);
    }
    return table;
}

} // namespace

int main()
{
    fmt::print("| bytes per item | {} items | {} items | {} items "
               "|\n|---|---|---|---|\n",
               item_counts[0], item_counts[1], item_counts[2]);
    print_row("used ticket", make_tickets);
    print_row("customer that has sent requests", make_customers);
    print_row("latency histogram of a customer and request class",
              make_histograms);
    print_row("upstream instance of a service", make_upstreams);
    print_row("method with a downstream level", make_levels);
}
