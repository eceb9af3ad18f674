"""Each promise is found broken when it is, and not when it holds."""

import unittest

from soak import plan
from soak.ledger import Disturbance, Ledger, Run, Sent
from soak.promises import Judge

START = 100.0
ROUTES = {route.name: route for route in plan.first_routes()}


class Promises(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger(started=0.0)
        self.ledger.versions.append(
            (0.0, {name: set(r.targets) for name, r in ROUTES.items()}))

    def send(self, name="buy", number=1, at=START, took=0.1, status=200,
             outcome="answered", **fields):
        sent = Sent(f"id-{number}", ROUTES[name], "node-1", "/t", b"", at,
                    status=status, outcome=outcome, ended=at + took, **fields)
        self.ledger.sent[sent.id] = sent
        return sent

    def run_it(self, sent, service="middle", at=None, took=0.05,
               executed=True, **fields):
        at = sent.at + 0.01 if at is None else at
        run = Run(sent.id, service, "i-1", at, executed,
                  fields.pop("caller", "front"), fields.pop("matches", True),
                  ended=at + took, **fields)
        self.ledger.runs.append(run)
        return run

    def disturb(self, start, end, who="*", planned=False):
        self.ledger.disturbances.append(
            Disturbance(who, "fault", planned, start, end))

    def found(self):
        judge = Judge(self.ledger, {"node-1": "front"})
        return sorted({line.split()[0] for line in judge.judge()})

    def test_whole_exchange_breaks_nothing(self):
        self.run_it(self.send())
        self.assertEqual(self.found(), [])

    def test_request_that_ran_twice(self):
        sent = self.send()
        self.run_it(sent)
        self.run_it(sent, at=START + 0.05)
        self.assertEqual(self.found(), ["TWICE"])

    def test_request_that_may_repeat_runs_twice(self):
        sent = self.send("view")
        self.run_it(sent, "front")
        self.run_it(sent, "front", at=START + 0.05)
        self.assertEqual(self.found(), [])

    def test_refusal_of_a_request_that_ran(self):
        for number, status in enumerate((408, 421, 429, 503)):
            self.run_it(self.send(number=number, status=status))
        self.assertEqual(self.found(), ["REFUSED"])

    def test_answer_of_another_request(self):
        self.run_it(self.send(detail="answer of another request"))
        self.assertEqual(self.found(), ["MIXED"])

    def test_late_answer_counts_on_calm_nodes_only(self):
        self.run_it(self.send("view", took=2.1), "front")
        self.assertEqual(self.found(), ["LATE"])
        self.disturb(START - 1, START - 0.5, "node-1")
        self.assertEqual(self.found(), [])

    def test_late_stand_ins_are_not_held_against_the_node(self):
        self.run_it(self.send("view", took=2.1), "front")
        self.ledger.harness_lag.append((START + 1, 0.8))
        self.assertEqual(self.found(), [])

    def test_planned_work_cuts_no_request(self):
        self.disturb(START - 1, START + 1, "node-1", planned=True)
        sent = self.send(status=0, outcome="closed")
        self.assertEqual(self.found(), [], "nobody took it")
        self.run_it(sent)
        self.assertEqual(self.found(), ["LOST"])
        self.disturb(START, START + 1, "node-2")
        self.assertEqual(self.found(), [])

    def test_route_that_never_was(self):
        self.run_it(self.send(), "deep")
        self.assertEqual(self.found(), ["ROUTE"])

    def test_route_of_an_older_configuration(self):
        later = dict(self.ledger.versions[0][1], buy={"deep"})
        self.ledger.versions.append((START - 1, later))
        self.run_it(self.send())
        self.assertEqual(self.found(), [], "within the time for a change")
        self.ledger.versions[1] = (START - 3, later)
        self.assertEqual(self.found(), ["CONFIG"])

    def test_wrong_caller(self):
        self.run_it(self.send(), caller="deep")
        self.assertEqual(self.found(), ["CALLER"])

    def test_changed_or_invented_requests(self):
        self.run_it(self.send(), matches=False)
        self.assertEqual(self.found(), ["UNASKED"])
        del self.ledger.sent["id-1"]
        self.assertEqual(self.found(), ["UNASKED"])

    def test_work_for_clients_that_left(self):
        for number in range(4):
            sent = self.send("view", number, status=0, outcome="gave-up")
            self.run_it(sent, "front", took=1.0)
        self.assertEqual(self.found(), ["GONE"])

    def test_requests_to_a_server_that_leaves(self):
        self.ledger.leaving["i-1"] = START - 2.5
        self.run_it(self.send())
        self.assertEqual(self.found(), ["DRAIN"])

    def test_repeats_beyond_the_budget(self):
        for number in range(40):
            sent = self.send("view", number, at=START + number / 10)
            self.run_it(sent, "front")
            self.run_it(sent, "front", at=sent.at + 0.05)
        self.assertEqual(self.found(), ["BUDGET"])

    def test_calls_of_repeated_runs_are_repeats(self):
        parent = self.send("view", 0)
        self.run_it(parent, "front")
        self.run_it(parent, "front", at=START + 0.05)
        for number in range(1, 40):
            call = self.send("call-middle", number, at=START + 0.06,
                             parent=parent.id)
            self.run_it(call)
        self.assertEqual(self.found(), ["BUDGET"])

    def test_service_must_return(self):
        self.run_it(self.send(status=502))
        judge = Judge(self.ledger, {"node-1": "front"})
        judge.served_again(START - 1, START + 1)
        self.assertEqual(judge.found[0].split()[0], "RECOVER")


if __name__ == "__main__":
    unittest.main()
