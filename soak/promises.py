"""The promises, checked from what callers and backend servers saw.

Bounds come from the deployments' terms: contact 3 s, drain 2 s, convergence
2 s, half a second past a time-out, 0.2 s for a request that nobody took.
"""

import collections

from soak import plan

CONTACT_S = 3.0
DRAIN_S = 2.0
CONVERGE_S = 2.0
LATE_S = 0.5
UNTAKEN_S = 0.2
GONE_S = 0.5
FEW = 3           # requests that may cross with their client's leaving
LAG_S = 0.1       # the stand-ins answered later than this: times are unjudged
NOT_RUN = (408, 421, 429, 503)
SERVED_AGAIN = 0.95  # share after all faults


class Judge:
    def __init__(self, ledger, services):
        self.ledger = ledger
        self.services = services  # of each node
        self.found = []
        self.unjudged = 0
        self.runs = collections.defaultdict(list)
        for run in ledger.runs:
            self.runs[run.id].append(run)

    def executed(self, request_id):
        return [run for run in self.runs[request_id] if run.executed]

    def report(self, rule, sent, text):
        at = sent.at - self.ledger.started
        self.found.append(f"{rule} t={at:.2f} {sent.id} {sent.route.name} "
                          f"at {sent.node}: {text}")

    def timed(self, start, end):
        """False, and counted, when the stand-ins themselves were late."""
        for at, lag in self.ledger.harness_lag:
            if lag > LAG_S and start - lag <= at <= end + lag:
                self.unjudged += 1
                return False
        return True

    def calm(self, sent, until):
        return self.ledger.calm(sent.node, sent.at - CONTACT_S, until)

    def judge(self):
        for sent in self.ledger.sent.values():
            self.at_most_once(sent)
            self.own_answer(sent)
            self.in_time(sent)
            self.kept(sent)
            self.present_route(sent)
        self.only_asked()
        self.after_leaving()
        self.after_drain()
        self.repeat_budget()
        return self.found

    def at_most_once(self, sent):
        if sent.route.idempotent:
            return
        runs = len(self.executed(sent.id))
        if runs > 1:
            self.report("TWICE", sent, f"ran {runs} times")
        if runs and sent.status in NOT_RUN:
            self.report("REFUSED", sent, f"{sent.status} though it ran")

    def own_answer(self, sent):
        if sent.outcome == "answered" and sent.detail:
            self.report("MIXED", sent, sent.detail)
        elif sent.detail.startswith("message ends") and self.calm(
                sent, sent.ended):
            self.report("MIXED", sent, sent.detail)

    def in_time(self, sent):
        limit = sent.route.timeout_ms / 1000 + LATE_S
        if (sent.route.timeout_ms and sent.ended - sent.at > limit
                and sent.outcome in ("answered", "gave-up", "closed")
                and self.calm(sent, sent.ended)
                and self.timed(sent.at, sent.ended)):
            self.report("LATE", sent, f"{sent.outcome} after "
                        f"{sent.ended - sent.at:.2f} s")

    def kept(self, sent):
        """Planned work cuts no request."""
        if sent.outcome != "closed":
            return
        taken = bool(self.runs[sent.id])
        if ((taken or sent.ended - sent.at > UNTAKEN_S)
                and self.ledger.calm(None, sent.at - CONTACT_S, sent.ended,
                                     unplanned_only=True)
                and self.timed(sent.at, sent.ended)):
            self.report("LOST", sent, "closed without an answer, "
                        f"{'taken' if taken else 'not taken'}, "
                        f"after {sent.ended - sent.at:.3f} s {sent.detail}")

    def present_route(self, sent):
        allowed = set()
        ever = set()
        newest = None
        for at, targets in self.ledger.versions:
            ever |= targets[sent.route.name]
            if at <= sent.at - CONVERGE_S:
                newest = targets[sent.route.name]
            elif at <= sent.ended:
                allowed |= targets[sent.route.name]
        allowed |= newest or set()
        for run in self.executed(sent.id):
            if run.service not in ever:
                self.report("ROUTE", sent, f"ran at {run.service}")
            elif (run.service not in allowed and self.calm(sent, run.at)
                    and self.timed(sent.at, run.at)):
                self.report("CONFIG", sent, f"ran at {run.service}, "
                            f"allowed are {sorted(allowed)}")
            if run.caller != self.services[sent.node]:
                self.report("CALLER", sent, f"caller {run.caller}")

    def only_asked(self):
        for request_id, runs in self.runs.items():
            sent = self.ledger.sent.get(request_id)
            if sent is None:
                self.found.append(f"UNASKED {request_id} was never sent")
            elif not all(run.matches for run in runs):
                self.report("UNASKED", sent, "target or body changed")

    def after_leaving(self):
        late = []
        for sent in self.ledger.sent.values():
            if sent.outcome != "gave-up" or not self.ledger.calm(
                    None, sent.at - CONTACT_S, sent.ended + 1,
                    unplanned_only=True):
                continue
            limit = sent.ended + GONE_S
            for run in self.runs[sent.id]:
                if (run.at > limit or run.executed and run.ended > limit) \
                        and self.timed(sent.at, run.ended):
                    late.append((sent, run))
        if len(late) > FEW:
            for sent, run in late:
                self.report("GONE", sent, f"still at {run.instance} "
                            f"{run.ended - sent.ended:.2f} s after its end")

    def after_drain(self):
        for run in self.ledger.runs:
            left = self.ledger.leaving.get(run.instance)
            sent = self.ledger.sent.get(run.id)
            if (left and sent and run.at > left + DRAIN_S and run.executed
                    and self.ledger.calm(sent.node, left - CONTACT_S, run.at,
                                         unplanned_only=True)
                    and self.timed(left, run.at)):
                self.report("DRAIN", sent, f"reached {run.instance} "
                            f"{run.at - left:.2f} s after it began to leave")

    def is_repeat(self, run):
        """True for arrivals beyond the first, and for calls made by a run
        that was itself a repeat."""
        earlier = [r for r in self.runs[run.id] if r.at < run.at]
        sent = self.ledger.sent.get(run.id)
        if earlier or sent is None or not sent.parent:
            return bool(earlier)
        parents = [r for r in self.runs[sent.parent] if r.at <= sent.at]
        return bool(parents) and self.is_repeat(parents[-1])

    def repeat_budget(self):
        window = plan.REPEAT_WINDOW_S
        for service in plan.SERVICES:
            repeats = sorted(run.at for run in self.ledger.runs
                             if run.service == service and self.is_repeat(run))
            asked = sorted(
                sent.at for sent in self.ledger.sent.values()
                if not sent.parent and service in sent.route.targets)
            for start in repeats:
                spent = sum(start <= at < start + window for at in repeats)
                most = max(
                    sum(start - back <= at < start - back + window
                        for at in asked)
                    for back in (0, window / 2, window))
                allowed = plan.REPEAT_RATIO * most + plan.REPEAT_SLACK
                if spent > allowed:
                    self.found.append(
                        f"BUDGET {service} from "
                        f"t={start - self.ledger.started:.2f}: {spent} "
                        f"repeats, {allowed:.0f} allowed for {most} requests")
                    break

    def served_again(self, since, until):
        sent = [s for s in self.ledger.sent.values()
                if not s.parent and since <= s.at < until
                and s.outcome != "gave-up"]
        good = sum(s.status == 200 for s in sent)
        if not sent or good < SERVED_AGAIN * len(sent):
            self.found.append(f"RECOVER {good} of {len(sent)} requests "
                              "served after all faults had ended")
        return good, len(sent)
