#include "jujubespan/policy/ticket_ledger.hpp"

#include <gtest/gtest.h>

namespace jujubespan
{
namespace
{

using namespace std::chrono_literals;

const time_point start(1000s);

ticket_ledger make_ledger(ticket_options options = {})
{
    return ticket_ledger("n-1", 7, "secret", options, start);
}

TEST(ticket, text_form_parses_to_the_same_ticket)
{
    auto ledger = make_ledger();
    const ticket issued = ledger.issue_ticket("acme", start);
    EXPECT_EQ(parse_ticket(to_string(issued)), issued);
    for (const auto* text : {"", "a~b~c~d", "a~1~2", "a~1~2~", "a~1~2~x~y",
                             "123e4567-e89b-12d3-a456-426614174000"})
    {
        EXPECT_FALSE(parse_ticket(text)) << text;
    }
}

TEST(ticket_ledger, runs_once_then_joins_then_returns_the_stored_response)
{
    auto ledger = make_ledger();
    const ticket t = ledger.issue_ticket("acme", start);
    EXPECT_EQ(ledger.begin_request(t, "acme", 1, start), ticket_verdict::run);
    EXPECT_EQ(ledger.begin_request(t, "acme", 1, start), ticket_verdict::join);
    ledger.complete(t.number, http_response{200, {}, "done"});
    EXPECT_EQ(ledger.begin_request(t, "acme", 1, start),
              ticket_verdict::stored);
    EXPECT_EQ(ledger.stored_response(t.number)->body, "done");
    EXPECT_EQ(ledger.begin_request(t, "acme", 2, start),
              ticket_verdict::mismatch);
}

TEST(ticket_ledger, a_released_ticket_may_run)
{
    auto ledger = make_ledger();
    const ticket t = ledger.issue_ticket("acme", start);
    ledger.begin_request(t, "acme", 1, start);
    ledger.release(t.number);
    EXPECT_EQ(ledger.begin_request(t, "acme", 1, start), ticket_verdict::run);
}

TEST(ticket_ledger, accepts_only_its_own_tickets)
{
    auto ledger = make_ledger();
    ticket t = ledger.issue_ticket("acme", start);
    EXPECT_EQ(ledger.begin_request(t, "other", 1, start),
              ticket_verdict::forged);
    t.number += 1;
    EXPECT_EQ(ledger.begin_request(t, "acme", 1, start),
              ticket_verdict::forged);
    t.incarnation = 6;
    EXPECT_EQ(ledger.begin_request(t, "acme", 1, start),
              ticket_verdict::owner_gone);
}

TEST(ticket_ledger, an_old_ticket_is_never_run)
{
    auto ledger = make_ledger();
    const ticket used = ledger.issue_ticket("acme", start);
    const ticket unused = ledger.issue_ticket("acme", start);
    ledger.begin_request(used, "acme", 1, start);
    ledger.complete(used.number, std::nullopt);
    const auto later = start + 121s;
    ledger.expire(later);
    EXPECT_EQ(ledger.record_count(), 0U);
    EXPECT_EQ(ledger.begin_request(used, "acme", 1, later),
              ticket_verdict::expired);
    EXPECT_EQ(ledger.begin_request(unused, "acme", 1, later),
              ticket_verdict::expired);
}

TEST(ticket_ledger, a_running_request_outlives_its_ticket)
{
    auto ledger = make_ledger();
    const ticket t = ledger.issue_ticket("acme", start);
    ledger.begin_request(t, "acme", 1, start);
    ledger.expire(start + 500s);
    EXPECT_EQ(ledger.begin_request(t, "acme", 1, start + 500s),
              ticket_verdict::join);
}

TEST(ticket_ledger, memory_is_bounded_and_completed_requests_never_run_again)
{
    ticket_options options;
    options.max_records = 100;
    options.max_response_bytes = 1000;
    auto ledger = make_ledger(options);
    std::vector<ticket> used;
    for (int i = 0; i < 100; ++i)
    {
        used.push_back(ledger.issue_ticket("acme", start));
        ledger.begin_request(used.back(), "acme", 1, start);
        ledger.complete(used.back().number,
                        http_response{200, {}, std::string(100, 'x')});
    }
    EXPECT_LE(ledger.response_bytes(), 1000U);
    EXPECT_EQ(ledger.begin_request(ledger.issue_ticket("acme", start), "acme",
                                   1, start),
              ticket_verdict::full);
    EXPECT_EQ(ledger.begin_request(used.front(), "acme", 1, start),
              ticket_verdict::already_run);
    EXPECT_EQ(ledger.begin_request(used.back(), "acme", 1, start),
              ticket_verdict::stored);
}

} // namespace
} // namespace jujubespan
