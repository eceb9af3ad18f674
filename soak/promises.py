"""Checks the promises against what callers and backend servers observed.

The deployments set these limits: 3 s for nodes to reconnect after a
disturbance, 2 s to drain, 2 s until a new configuration is in force on every
node, 0.5 s beyond a request's timeout, and 0.2 s to close the connection of a
request that was not accepted.
"""

import collections

from soak import plan

RECONNECT_S = 3.0
DRAIN_S = 2.0
CONTACT_S = 3.0  # without a disturbance until a node knows all changes
CONFIG_CONVERGENCE_S = 2.0
TIMEOUT_TOLERANCE_S = 0.5
UNACCEPTED_CLOSE_S = 0.2
# From the time that a client abandons a request to the end of its execution.
CANCELLATION_S = 0.5
# Arrivals in a run that may exceed CANCELLATION_S, since a request can reach a
# backend server while its cancellation is still being forwarded.
MAX_LATE_ARRIVALS = 3
# Timing checks are skipped while the event loop lags by more than this.
MAX_HARNESS_LAG_S = 0.1
# An instance that announces a limit may get LIMIT_FACTOR times what it allows
# within LIMIT_WINDOW_S, and LIMIT_SLACK requests, from the nodes that passed on
# its announcement LIMIT_TOLD_S earlier.
LIMIT_FACTOR = 1.5
LIMIT_WINDOW_S = 4.0
LIMIT_SLACK = 5
LIMIT_TOLD_S = 0.5
# A request that has ended CRASH_THRESHOLD backend servers may reach servers in
# MAX_LATE_RETRIES further requests, sent later than RECONNECT_S after that.
CRASH_THRESHOLD = 3
MAX_LATE_RETRIES = 3
# Statuses that assure the caller that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
MIN_SUCCESS_RATIO = 0.95  # of the requests sent after the last fault


def is_crashing(target):
    return plan.CRASH_PART in target or plan.CHAIN_PART in target


class PromiseChecker:
    def __init__(self, ledger, services):
        self.ledger = ledger
        self.services = services  # node: its service
        self.violations = []
        self.skipped_timing_checks = 0
        self.arrivals = collections.defaultdict(list)
        for arrival in ledger.arrivals:
            self.arrivals[arrival.id].append(arrival)

    def executed_arrivals(self, request_id):
        return [arrival for arrival in self.arrivals[request_id]
                if arrival.executed]

    def add_violation(self, rule, sent, text):
        at = sent.at - self.ledger.started
        self.violations.append(
            f"{rule} t={at:.2f} {sent.id} {sent.route.name} "
            f"at {sent.node}: {text}")

    def is_timing_reliable(self, start, end):
        """Tells whether the event loop did not lag during a time span.

        If it lagged, counts the timing check as skipped.
        """
        for at, lag in self.ledger.harness_lag:
            if lag > MAX_HARNESS_LAG_S and start - lag <= at <= end + lag:
                self.skipped_timing_checks += 1
                return False
        return True

    def is_undisturbed(self, sent, until):
        """Tells whether a request's node was undisturbed until `until`.

        The span begins RECONNECT_S before the request was sent.
        """
        return self.ledger.is_undisturbed(sent.node, sent.at - RECONNECT_S,
                                          until)

    def check_all(self):
        """Runs all checks except check_recovery and returns the violations."""
        for sent in self.ledger.sent.values():
            self.check_single_execution(sent)
            self.check_response_matches(sent)
            self.check_timeout(sent)
            self.check_not_lost(sent)
            self.check_routing(sent)
            self.check_organisation(sent)
        self.check_arrivals_were_sent()
        self.check_cancellation()
        self.check_drain()
        self.check_departures()
        self.check_announced_leaving()
        self.check_rate_limits()
        self.check_retry_budget()
        self.check_crashing_requests()
        self.check_innocent_requests()
        return self.violations

    def check_single_execution(self, sent):
        if sent.route.idempotent:
            return
        count = len(self.executed_arrivals(sent.id))
        if count > 1:
            self.add_violation("TWICE", sent, f"executed {count} times")
        if count and sent.status in NOT_EXECUTED_STATUSES:
            self.add_violation("REFUSED", sent,
                               f"status {sent.status}, but it was executed")

    def check_response_matches(self, sent):
        if sent.outcome == "answered" and sent.detail:
            self.add_violation("MIXED", sent, sent.detail)
        elif sent.detail.startswith("message ends") and self.is_undisturbed(
                sent, sent.ended):
            self.add_violation("MIXED", sent, sent.detail)

    def check_timeout(self, sent):
        limit = sent.route.timeout_ms / 1000 + TIMEOUT_TOLERANCE_S
        if (sent.route.timeout_ms and sent.ended - sent.at > limit
                and sent.outcome in ("answered", "gave-up", "closed")
                and self.is_undisturbed(sent, sent.ended)
                and self.is_timing_reliable(sent.at, sent.ended)):
            self.add_violation("LATE", sent, f"{sent.outcome} after "
                               f"{sent.ended - sent.at:.2f} s")

    def check_not_lost(self, sent):
        """Reports a request that got no response without an unplanned fault.

        A connection may be closed within UNACCEPTED_CLOSE_S if the request
        reached no backend server.
        """
        if sent.outcome != "closed":
            return
        accepted = bool(self.arrivals[sent.id])
        if ((accepted or sent.ended - sent.at > UNACCEPTED_CLOSE_S)
                and self.ledger.is_undisturbed(None, sent.at - RECONNECT_S,
                                               sent.ended, unplanned_only=True)
                and self.is_timing_reliable(sent.at, sent.ended)):
            self.add_violation(
                "LOST", sent, "connection closed without a response, "
                f"{'accepted' if accepted else 'not accepted'}, "
                f"after {sent.ended - sent.at:.3f} s {sent.detail}")

    def check_routing(self, sent):
        allowed = set()
        ever_allowed = set()
        converged_targets = None
        for at, targets in self.ledger.configurations:
            ever_allowed |= targets[sent.route.name]
            if at <= sent.at - CONFIG_CONVERGENCE_S:
                converged_targets = targets[sent.route.name]
            elif at <= sent.ended:
                allowed |= targets[sent.route.name]
        allowed |= converged_targets or set()
        for arrival in self.executed_arrivals(sent.id):
            if arrival.service not in ever_allowed:
                self.add_violation("ROUTE", sent,
                                   f"executed by {arrival.service}")
            elif (arrival.service not in allowed
                  and self.is_undisturbed(sent, arrival.at)
                  and self.is_timing_reliable(sent.at, arrival.at)):
                self.add_violation("CONFIG", sent,
                                   f"executed by {arrival.service}, "
                                   f"allowed are {sorted(allowed)}")
            if arrival.caller != self.services[sent.node]:
                self.add_violation("CALLER", sent,
                                   f"wrong caller {arrival.caller}")

    def holding_of(self, sent):
        """Returns the KeyHolding of a request's key.

        Returns None if it has no key, several keys or a key that no
        configuration held.
        """
        return self.ledger.keys.get(sent.keys[0]) if len(sent.keys) == 1 \
            else None

    def needs_key(self, sent):
        return bool(self.ledger.keys) and not sent.route.anonymous

    def check_organisation(self, sent):
        """Checks the keys of requests and the names that arrive with them.

        Calls made by backend servers have the organisation of the request
        that makes them.
        """
        for arrival in self.arrivals[sent.id]:
            if arrival.key_seen:
                self.add_violation("LEAK", sent, "a key reached "
                                   f"{arrival.instance}")
        origin = sent
        while origin is not None and origin.parent:
            origin = self.ledger.sent.get(origin.parent)
        if origin is None or not self.ledger.keys:
            return
        holding = self.holding_of(origin) if self.needs_key(origin) else None
        name = "" if holding is None else holding.organisation
        for arrival in self.executed_arrivals(sent.id):
            if holding is None and self.needs_key(origin):
                self.add_violation("KEY", sent, "executed without a valid key")
            elif arrival.organisation != name:
                self.add_violation("ORGANISATION", sent,
                                   f"is of \"{name}\", executed as of "
                                   f"\"{arrival.organisation}\"")
        if sent is origin and holding is not None:
            self.check_revocation(sent, holding)

    def check_revocation(self, sent, holding):
        """Checks that a key is accepted while it is held and not later."""
        revoked_at = holding.revoked_at
        if (sent.status == 401
                and (not revoked_at or sent.ended < revoked_at)
                and sent.at > holding.added_at + CONFIG_CONVERGENCE_S
                and self.is_undisturbed(sent, sent.ended)
                and self.is_timing_reliable(holding.added_at, sent.ended)):
            self.add_violation("DENIED", sent, "its key was valid")
        if not revoked_at or not self.executed_arrivals(sent.id):
            return
        if (sent.at > revoked_at + plan.REVOCATION_BOUND_S
                and not self.was_restored(sent.at)):
            self.add_violation(
                "REVOKED", sent, "executed with a key that was revoked "
                f"{sent.at - revoked_at:.2f} s before")
        elif (sent.at > revoked_at + CONFIG_CONVERGENCE_S
              and self.ledger.is_undisturbed(
                  sent.node, revoked_at - RECONNECT_S, sent.ended)
              and self.is_timing_reliable(revoked_at, sent.ended)):
            self.add_violation(
                "CONFIG", sent, "executed with a key that was revoked "
                f"{sent.at - revoked_at:.2f} s before")

    def was_restored(self, at):
        """Tells whether the store may hold an earlier configuration."""
        return any(d.kind == "restored store" and d.start <= at
                   and (not d.end or at <= d.end + plan.REVOCATION_BOUND_S)
                   for d in self.ledger.disturbances)

    def check_arrivals_were_sent(self):
        for request_id, arrivals in self.arrivals.items():
            sent = self.ledger.sent.get(request_id)
            if sent is None:
                self.violations.append(f"UNASKED {request_id} was never sent")
            elif not all(arrival.matches for arrival in arrivals):
                self.add_violation("UNASKED", sent, "target or body changed")

    def check_cancellation(self):
        late_arrivals = []
        for sent in self.ledger.sent.values():
            if sent.outcome != "gave-up" or not self.ledger.is_undisturbed(
                    None, sent.at - RECONNECT_S, sent.ended + 1,
                    unplanned_only=True):
                continue
            limit = sent.ended + CANCELLATION_S
            for arrival in self.arrivals[sent.id]:
                if (arrival.at > limit
                    or arrival.executed and arrival.ended > limit) \
                        and self.is_timing_reliable(sent.at, arrival.ended):
                    late_arrivals.append((sent, arrival))
        if len(late_arrivals) > MAX_LATE_ARRIVALS:
            for sent, arrival in late_arrivals:
                self.add_violation("GONE", sent,
                                   f"still handled by {arrival.instance} "
                                   f"{arrival.ended - sent.ended:.2f} s after "
                                   "the client had abandoned the request")

    def check_drain(self):
        for arrival in self.ledger.arrivals:
            drain_start = self.ledger.draining.get(arrival.instance)
            sent = self.ledger.sent.get(arrival.id)
            if (drain_start and sent and arrival.at > drain_start + DRAIN_S
                    and arrival.executed
                    and self.ledger.is_undisturbed(
                        sent.node, drain_start - RECONNECT_S, arrival.at,
                        unplanned_only=True)
                    and self.is_timing_reliable(drain_start, arrival.at)):
                self.add_violation("DRAIN", sent,
                                   f"reached {arrival.instance} "
                                   f"{arrival.at - drain_start:.2f} s after "
                                   "its drain began")

    def check_departures(self):
        """Nodes without a recent disturbance use no instance that has left.

        Unlike check_drain, this includes nodes that were cut off when the
        instance left.
        """
        left = {**self.ledger.draining, **self.ledger.removed}
        for arrival in self.ledger.arrivals:
            left_at = left.get(arrival.instance)
            sent = self.ledger.sent.get(arrival.id)
            if (left_at and sent and sent.at > left_at + DRAIN_S
                    and arrival.executed
                    and self.ledger.is_undisturbed(
                        sent.node, sent.at - CONTACT_S, arrival.at,
                        unplanned_only=True)
                    and self.is_timing_reliable(sent.at - CONTACT_S,
                                                arrival.at)):
                self.add_violation("DRAIN", sent,
                                   f"reached {arrival.instance}, which had "
                                   f"left {sent.at - left_at:.2f} s before")

    def is_told(self, told, arrival, delay_s):
        """Tells whether the sending node had passed on an announcement.

        That is at least `delay_s` before the request was sent, without a
        disturbance of the node since.
        """
        sent = self.ledger.sent.get(arrival.id)
        if sent is None:
            return False
        told_at = told.get((sent.node, arrival.instance))
        return (told_at is not None and sent.at > told_at + delay_s
                and self.ledger.is_undisturbed(sent.node, told_at, arrival.at)
                and self.is_timing_reliable(told_at, arrival.at))

    def check_announced_leaving(self):
        for arrival in self.ledger.arrivals:
            if self.is_told(self.ledger.told_leaving, arrival, DRAIN_S):
                self.add_violation(
                    "DRAIN", self.ledger.sent[arrival.id],
                    f"reached {arrival.instance}, which had announced that it "
                    "leaves")

    def check_rate_limits(self):
        """Compares arrivals with the limits that their instances announced.

        Reports only the first violation of each limit.
        """
        for limit in self.ledger.rate_limits:
            allowed = (LIMIT_FACTOR * limit.rate * LIMIT_WINDOW_S
                       + LIMIT_SLACK)
            times = sorted(
                arrival.at for arrival in self.ledger.arrivals
                if arrival.instance == limit.instance
                and limit.start + RECONNECT_S <= arrival.at
                and (not limit.end or arrival.at <= limit.end)
                and self.is_told(self.ledger.told_limit, arrival,
                                 LIMIT_TOLD_S))
            for start in times:
                count = sum(start <= at < start + LIMIT_WINDOW_S
                            for at in times)
                if count > allowed:
                    self.violations.append(
                        f"LIMIT {limit.instance} from "
                        f"t={start - self.ledger.started:.2f}: {count} "
                        f"requests, {allowed:.0f} allowed at "
                        f"{limit.rate:.1f} a second")
                    break

    def is_retry(self, arrival):
        """Tells whether an arrival belongs to a retry.

        That is an arrival after the first one of its request, or any arrival
        of a call that was made by a retry.
        """
        earlier = [a for a in self.arrivals[arrival.id] if a.at < arrival.at]
        sent = self.ledger.sent.get(arrival.id)
        if earlier or sent is None or not sent.parent:
            return bool(earlier)
        parents = [a for a in self.arrivals[sent.parent] if a.at <= sent.at]
        return bool(parents) and self.is_retry(parents[-1])

    def check_retry_budget(self):
        """Compares the retries that reach a service with its retry budget.

        The budget follows from the largest number of requests in the same
        window, in one that starts half a window earlier and in the previous
        one. Reports only the first violation of each service.
        """
        window = plan.RETRY_WINDOW_S
        for service in plan.SERVICES:
            retries = sorted(
                arrival.at for arrival in self.ledger.arrivals
                if arrival.service == service and self.is_retry(arrival))
            requests = sorted(
                sent.at for sent in self.ledger.sent.values()
                if not sent.parent and service in sent.route.targets)
            for start in retries:
                retry_count = sum(start <= at < start + window
                                  for at in retries)
                max_requests = max(
                    sum(start - shift_s <= at < start - shift_s + window
                        for at in requests)
                    for shift_s in (0, window / 2, window))
                allowed = plan.RETRY_RATIO * max_requests + plan.RETRY_SLACK
                if retry_count > allowed:
                    self.violations.append(
                        f"BUDGET {service} from "
                        f"t={start - self.ledger.started:.2f}: {retry_count} "
                        f"retries, {allowed:.0f} allowed for {max_requests} "
                        "requests")
                    break

    def check_crashing_requests(self):
        """Limits the arrivals of a request that has ended several servers.

        Requests with the same caller, target and body are the same.
        """
        groups = collections.defaultdict(list)
        for sent in self.ledger.sent.values():
            if plan.CRASH_PART in sent.target:
                key = (self.services[sent.node], sent.target, sent.body)
                groups[key].append(sent)
        for requests in groups.values():
            crashes = sorted(arrival.ended for sent in requests
                             for arrival in self.arrivals[sent.id]
                             if arrival.crashed)
            if len(crashes) < CRASH_THRESHOLD:
                continue
            since = crashes[CRASH_THRESHOLD - 1] + RECONNECT_S
            late = [sent for sent in requests
                    if sent.at > since and self.executed_arrivals(sent.id)
                    and self.is_undisturbed(sent, sent.ended)]
            if len(late) > MAX_LATE_RETRIES:
                self.add_violation(
                    "BUDGET", late[0],
                    f"{len(late)} requests for {late[0].target} reached "
                    f"servers after it had ended {CRASH_THRESHOLD}, "
                    f"{len(crashes)} ended in all")

    def check_innocent_requests(self):
        for sent in self.ledger.sent.values():
            if sent.reason == "quarantined" and not is_crashing(sent.target):
                self.add_violation("BLAMED", sent, "quarantined, but it ends "
                                   "no server")

    def check_recovery(self, since, until):
        """Checks the share of successful requests sent in a time span.

        Returns the numbers of successful and of all requests.
        """
        sent = [s for s in self.ledger.sent.values()
                if not s.parent and since <= s.at < until
                and s.outcome != "gave-up"
                and not is_crashing(s.target)
                and not (self.needs_key(s) and self.holding_of(s) is None)
                and not (self.needs_key(s) and self.holding_of(s).revoked_at)]
        successful = sum(s.status == 200 for s in sent)
        if not sent or successful < MIN_SUCCESS_RATIO * len(sent):
            self.violations.append(
                f"RECOVER {successful} of {len(sent)} requests "
                "served after all faults had ended")
        return successful, len(sent)
