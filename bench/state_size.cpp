// Prints the heap memory of each kind of state, at three sizes.

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

constexpr std::array<int, 3> sizes{100, 1000, 10'000};
const time_point now(std::chrono::seconds(1000));

std::size_t heap_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Prints the bytes that each of a number of items adds.
void show(std::string_view name,
          const std::function<std::shared_ptr<void>(int)>& make)
{
    fmt::print("| {} |", name);
    for (const int size : sizes)
    {
        const auto before = heap_bytes();
        const auto kept = make(size);
        fmt::print(" {} |",
                   (heap_bytes() - before) / static_cast<std::size_t>(size));
    }
    fmt::print("\n");
}

std::shared_ptr<void> tickets(int count)
{
    auto ledger = std::make_shared<ticket_ledger>("node-1", 1, "key",
                                                  ticket_options{}, now);
    for (int i = 0; i < count; ++i)
    {
        const auto minted = ledger->issue_ticket("acme", now);
        ledger->begin_request(minted, "acme", 1, now);
        ledger->complete(minted.number, std::nullopt);
    }
    return ledger;
}

std::shared_ptr<void> customers(int count)
{
    auto guard = std::make_shared<engine::customer_guard>(
        "a-1", "d-1", 1, std::chrono::seconds(11));
    for (int i = 0; i < count; ++i)
    {
        config::contract terms;
        terms.customer = fmt::format("customer-{}", i);
        terms.requests_per_second = 1;
        terms.burst = std::chrono::seconds(1);
        guard->admit(terms, false, now);
    }
    return guard;
}

std::shared_ptr<void> histograms(int count)
{
    auto metrics = std::make_shared<engine::engine_metrics>();
    for (int i = 0; i < count; ++i)
    {
        metrics->latency[{fmt::format("customer-{}", i), request_class::normal}]
            .add(std::chrono::milliseconds(3));
    }
    return metrics;
}

std::shared_ptr<void> upstreams(int count)
{
    auto set = std::make_shared<upstream_set>("me", "d-1", routing_options{});
    std::vector<instance> list(static_cast<std::size_t>(count));
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        list[i].id = fmt::format("service-{}", i);
        list[i].service = "service";
        list[i].failure_domain = "d-1";
        list[i].call_address = "127.0.0.1:23456";
        list[i].control_address = "127.0.0.1:23457";
    }
    set->apply(list, false, now);
    return set;
}

std::shared_ptr<void> levels(int count)
{
    auto table = std::make_shared<level_table>();
    for (int i = 0; i < count; ++i)
    {
        const std::vector<service_level> reported{
            {fmt::format("service-{}", i % 73), 100}};
        table->learn(fmt::format("shop GET /method-{}", i), reported, now);
    }
    return table;
}

} // namespace

int main()
{
    fmt::print("| bytes of one | of {} | of {} | of {} |\n|---|---|---|---|\n",
               sizes[0], sizes[1], sizes[2]);
    show("ticket that was used", tickets);
    show("customer with requests", customers);
    show("histogram of a customer and class", histograms);
    show("instance in a service's upstreams", upstreams);
    show("method with a level behind it", levels);
}
