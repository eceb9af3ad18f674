"""Record of what callers and backend servers observed during a run.

Points in time are seconds of the monotonic clock.
"""

import time
from dataclasses import dataclass, field


@dataclass
class SentRequest:
    """A request sent by a client, or a call made by a backend server."""

    id: str
    route: object
    node: str
    target: str
    body: bytes
    at: float
    parent: str = ""    # id of the request that made this call
    reused_connection: bool = False
    status: int = 0     # 0: no response
    ended: float = 0
    outcome: str = ""   # answered, closed, gave-up, unsent
    detail: str = ""    # what was wrong with the response or the connection


@dataclass
class Arrival:
    """A request as it arrived at a backend server."""

    id: str
    service: str
    instance: str
    at: float
    executed: bool
    caller: str
    matches: bool        # method, target and body are those that were sent
    finished: bool = False
    cancelled_at: float = 0
    ended: float = 0


@dataclass
class Disturbance:
    """A fault or a planned operation.

    `component` is a node, a backend server, or `*` for the whole system.
    """

    component: str
    kind: str
    planned: bool
    start: float
    end: float = 0


@dataclass
class Ledger:
    sent: dict = field(default_factory=dict)      # id: request
    arrivals: list = field(default_factory=list)
    disturbances: list = field(default_factory=list)
    # (time, {route: services}) of each published configuration
    configurations: list = field(default_factory=list)
    draining: dict = field(default_factory=dict)  # instance: drain start
    harness_lag: list = field(default_factory=list)  # (time, lag in s)
    log: list = field(default_factory=list)  # (s since the start, text)
    started: float = field(default_factory=time.monotonic)

    def begin_disturbance(self, component, kind, planned=False):
        entry = Disturbance(component, kind, planned, time.monotonic())
        self.disturbances.append(entry)
        self.add_log_line(f"{kind} of {component} begins")
        return entry

    def end_disturbance(self, entry):
        entry.end = time.monotonic()
        self.add_log_line(f"{entry.kind} of {entry.component} ends")

    def add_log_line(self, text):
        self.log.append((time.monotonic() - self.started, text))

    def is_undisturbed(self, component, since, until, unplanned_only=False):
        """Tells whether no disturbance of a component overlaps a time span.

        A component of None stands for any component.
        """
        for entry in self.disturbances:
            if unplanned_only and entry.planned:
                continue
            if component is not None and entry.component not in (
                    component, "*"):
                continue
            if entry.start <= until and (not entry.end or entry.end >= since):
                return False
        return True
