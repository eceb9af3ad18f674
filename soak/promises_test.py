"""Tests that the checker reports each broken promise, and no kept one."""

import unittest

from soak import plan
from soak.ledger import (Arrival, Disturbance, KeyHolding, Ledger,
                         RateLimit, SentRequest)
from soak.promises import PromiseChecker

START = 100.0
ROUTES = {route.name: route for route in plan.initial_routes()}


class PromiseCheckerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger(started=0.0)
        self.ledger.configurations.append(
            (0.0, {name: set(r.targets) for name, r in ROUTES.items()}))

    def add_request(self, route_name="buy", number=1, at=START, duration_s=0.1,
                    status=200, outcome="answered", **fields):
        sent = SentRequest(f"id-{number}", ROUTES[route_name], "node-1", "/t",
                           b"", at, status=status, outcome=outcome,
                           ended=at + duration_s, **fields)
        self.ledger.sent[sent.id] = sent
        return sent

    def add_arrival(self, sent, service="middle", at=None, duration_s=0.05,
                    executed=True, **fields):
        at = sent.at + 0.01 if at is None else at
        arrival = Arrival(sent.id, service, "i-1", at, executed,
                          fields.pop("caller", "front"),
                          fields.pop("matches", True),
                          ended=at + duration_s, **fields)
        self.ledger.arrivals.append(arrival)
        return arrival

    def add_disturbance(self, start, end, component="*", planned=False):
        self.ledger.disturbances.append(
            Disturbance(component, "fault", planned, start, end))

    def find_broken_rules(self):
        checker = PromiseChecker(self.ledger, {"node-1": "front"})
        return sorted({line.split()[0] for line in checker.check_all()})

    def add_keyed(self, *keys, number=1, organisation="org-0", **fields):
        """Adds an executed request with key headers."""
        sent = self.add_request(number=number, keys=keys, **fields)
        self.add_arrival(sent, organisation=organisation)
        return sent

    def test_request_without_a_valid_key_runs(self):
        self.ledger.keys = {"k": KeyHolding("org-0", 1.0)}
        self.add_keyed("k")
        self.assertEqual(self.find_broken_rules(), [])
        for number, keys in enumerate([(), ("wrong",), ("k", "k")]):
            self.setUp()
            self.ledger.keys = {"k": KeyHolding("org-0", 1.0)}
            self.add_keyed(*keys, number=number, organisation="")
            self.assertEqual(self.find_broken_rules(), ["KEY"], keys)

    def test_backend_server_gets_another_organisation_or_the_key(self):
        self.ledger.keys = {"k": KeyHolding("org-0", 1.0)}
        sent = self.add_keyed("k")
        call = self.add_request("call-middle", 2, parent=sent.id)
        arrival = self.add_arrival(call, organisation="org-0")
        self.assertEqual(self.find_broken_rules(), [])
        arrival.organisation = "org-1"
        self.assertEqual(self.find_broken_rules(), ["ORGANISATION"])
        arrival.key_seen = True
        self.assertEqual(self.find_broken_rules(), ["LEAK", "ORGANISATION"])

    def test_revoked_key_runs_after_the_bound(self):
        bound = plan.REVOCATION_BOUND_S
        self.ledger.keys = {"k": KeyHolding("org-0", 1.0, START - 1)}
        self.add_keyed("k")
        self.assertEqual(self.find_broken_rules(), [], "within the bound")
        self.ledger.keys["k"].revoked_at = START - bound + 1
        self.assertEqual(self.find_broken_rules(), ["CONFIG"], "undisturbed")
        self.add_disturbance(START - 1, START + 1)
        self.assertEqual(self.find_broken_rules(), [])
        self.ledger.keys["k"].revoked_at = START - bound - 0.1
        self.assertEqual(self.find_broken_rules(), ["REVOKED"], "whatever")
        self.ledger.disturbances[0].kind = "restored store"
        self.assertEqual(self.find_broken_rules(), [], "listed again")

    def test_valid_key_is_denied(self):
        self.ledger.keys = {"k": KeyHolding("org-0", START - 1)}
        self.add_request(keys=("k",), status=401)
        self.assertEqual(self.find_broken_rules(), [], "just added")
        self.ledger.keys["k"].added_at = START - 5
        self.assertEqual(self.find_broken_rules(), ["DENIED"])
        self.ledger.keys["k"].revoked_at = START - 1
        self.assertEqual(self.find_broken_rules(), [])

    def add_crashing_requests(self, start, count, crashed):
        for index in range(count):
            sent = self.add_request(
                "buy", f"{start}-{index}", at=start + index, status=502)
            sent.target = "/buy/crash-1"
            self.add_arrival(sent, crashed=crashed)

    def test_request_that_ended_three_servers_is_sent_on(self):
        self.add_crashing_requests(START, 3, True)
        self.add_crashing_requests(START + 3, 3, True)
        self.assertEqual(self.find_broken_rules(), [],
                         "within the time to learn of it")
        self.add_crashing_requests(START + 10, 3, True)
        self.assertEqual(self.find_broken_rules(), [], "three more")
        self.add_crashing_requests(START + 15, 1, True)
        self.assertEqual(self.find_broken_rules(), ["BUDGET"])

    def test_two_ended_servers_do_not_bind(self):
        self.add_crashing_requests(START, 2, True)
        self.add_crashing_requests(START + 10, 6, False)
        self.assertEqual(self.find_broken_rules(), [])

    def test_quarantine_of_a_request_that_ends_no_server(self):
        sent = self.add_request(status=503, reason="quarantined")
        self.assertEqual(self.find_broken_rules(), ["BLAMED"])
        sent.target = "/buy/crash-1"
        self.assertEqual(self.find_broken_rules(), [])

    def test_complete_exchange_is_no_violation(self):
        self.add_arrival(self.add_request())
        self.assertEqual(self.find_broken_rules(), [])

    def test_non_idempotent_request_executed_twice(self):
        sent = self.add_request()
        self.add_arrival(sent)
        self.add_arrival(sent, at=START + 0.05)
        self.assertEqual(self.find_broken_rules(), ["TWICE"])

    def test_idempotent_request_may_execute_twice(self):
        sent = self.add_request("view")
        self.add_arrival(sent, "front")
        self.add_arrival(sent, "front", at=START + 0.05)
        self.assertEqual(self.find_broken_rules(), [])

    def test_rejection_of_an_executed_request(self):
        for number, status in enumerate((408, 421, 429, 503)):
            self.add_arrival(self.add_request(number=number, status=status))
        self.assertEqual(self.find_broken_rules(), ["REFUSED"])

    def test_response_of_another_request(self):
        self.add_arrival(
            self.add_request(detail="response of another request"))
        self.assertEqual(self.find_broken_rules(), ["MIXED"])

    def test_late_response_counts_only_on_undisturbed_nodes(self):
        self.add_arrival(self.add_request("view", duration_s=2.1), "front")
        self.assertEqual(self.find_broken_rules(), ["LATE"])
        self.add_disturbance(START - 1, START - 0.5, "node-1")
        self.assertEqual(self.find_broken_rules(), [])

    def test_timing_is_not_checked_while_stand_ins_lag(self):
        self.add_arrival(self.add_request("view", duration_s=2.1), "front")
        self.ledger.harness_lag.append((START + 1, 0.8))
        self.assertEqual(self.find_broken_rules(), [])

    def test_planned_operation_loses_no_request(self):
        self.add_disturbance(START - 1, START + 1, "node-1", planned=True)
        sent = self.add_request(status=0, outcome="closed")
        self.assertEqual(self.find_broken_rules(), [], "it was not accepted")
        self.add_arrival(sent)
        self.assertEqual(self.find_broken_rules(), ["LOST"])
        self.add_disturbance(START, START + 1, "node-2")
        self.assertEqual(self.find_broken_rules(), [])

    def test_service_that_was_never_a_target(self):
        self.add_arrival(self.add_request(), "deep")
        self.assertEqual(self.find_broken_rules(), ["ROUTE"])

    def test_target_of_an_outdated_configuration(self):
        new_targets = dict(self.ledger.configurations[0][1], buy={"deep"})
        self.ledger.configurations.append((START - 1, new_targets))
        self.add_arrival(self.add_request())
        self.assertEqual(self.find_broken_rules(), [],
                         "within the convergence time")
        self.ledger.configurations[1] = (START - 3, new_targets)
        self.assertEqual(self.find_broken_rules(), ["CONFIG"])

    def test_wrong_caller(self):
        self.add_arrival(self.add_request(), caller="deep")
        self.assertEqual(self.find_broken_rules(), ["CALLER"])

    def test_changed_and_unknown_requests(self):
        self.add_arrival(self.add_request(), matches=False)
        self.assertEqual(self.find_broken_rules(), ["UNASKED"])
        del self.ledger.sent["id-1"]
        self.assertEqual(self.find_broken_rules(), ["UNASKED"])

    def test_execution_after_the_client_abandoned_the_request(self):
        for number in range(4):
            sent = self.add_request("view", number, status=0,
                                    outcome="gave-up")
            self.add_arrival(sent, "front", duration_s=1.0)
        self.assertEqual(self.find_broken_rules(), ["GONE"])

    def test_request_to_a_draining_server(self):
        self.ledger.draining["i-1"] = START - 2.5
        self.add_arrival(self.add_request())
        self.assertEqual(self.find_broken_rules(), ["DRAIN"])

    def test_request_to_a_server_that_left_during_a_cut(self):
        self.ledger.removed["i-1"] = START - 6
        self.add_disturbance(START - 8, START - 3.2)
        self.add_arrival(self.add_request())
        self.assertEqual(self.find_broken_rules(), ["DRAIN"])

    def test_node_that_was_just_cut_off_may_not_know_of_a_departure(self):
        self.ledger.removed["i-1"] = START - 6
        self.add_disturbance(START - 8, START - 2.8)
        self.add_arrival(self.add_request())
        self.assertEqual(self.find_broken_rules(), [])

    def test_retries_beyond_the_budget(self):
        for number in range(40):
            sent = self.add_request("view", number, at=START + number / 10)
            self.add_arrival(sent, "front")
            self.add_arrival(sent, "front", at=sent.at + 0.05)
        self.assertEqual(self.find_broken_rules(), ["BUDGET"])

    def test_calls_made_by_retries_are_retries(self):
        parent = self.add_request("view", 0)
        self.add_arrival(parent, "front")
        self.add_arrival(parent, "front", at=START + 0.05)
        for number in range(1, 40):
            call = self.add_request("call-middle", number, at=START + 0.06,
                                    parent=parent.id)
            self.add_arrival(call)
        self.assertEqual(self.find_broken_rules(), ["BUDGET"])

    def test_failing_service_has_not_recovered(self):
        self.add_arrival(self.add_request(status=502))
        checker = PromiseChecker(self.ledger, {"node-1": "front"})
        checker.check_recovery(START - 1, START + 1)
        self.assertEqual(checker.violations[0].split()[0], "RECOVER")

    def add_limited_arrivals(self, count):
        for number in range(count):
            self.add_arrival(self.add_request(
                "view", number, at=START + 5 + number * 0.05), "front")

    def test_requests_beyond_an_announced_limit(self):
        self.ledger.rate_limits.append(RateLimit("i-1", 2, START, START + 20))
        self.ledger.told_limit["node-1", "i-1"] = START + 1
        self.add_limited_arrivals(17)
        self.assertEqual(self.find_broken_rules(), [])
        self.add_limited_arrivals(18)
        self.assertEqual(self.find_broken_rules(), ["LIMIT"])

    def test_limit_binds_only_nodes_that_were_told_and_undisturbed(self):
        self.ledger.rate_limits.append(RateLimit("i-1", 2, START, START + 20))
        self.add_limited_arrivals(40)
        self.assertEqual(self.find_broken_rules(), [])
        self.ledger.told_limit["node-1", "i-1"] = START + 1
        self.add_disturbance(START + 2, START + 2.5, "node-1")
        self.assertEqual(self.find_broken_rules(), [])

    def test_request_to_an_instance_that_had_announced_its_end(self):
        self.ledger.told_leaving["node-1", "i-1"] = START - 1.5
        sent = self.add_request("view")
        self.add_arrival(sent, "front")
        self.assertEqual(self.find_broken_rules(), [])
        self.ledger.told_leaving["node-1", "i-1"] = START - 2.5
        self.assertEqual(self.find_broken_rules(), ["DRAIN"])


if __name__ == "__main__":
    unittest.main()
