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
    at: float           # time of sending
    parent: str = ""    # id of the request that made this call
    reused_connection: bool = False
    status: int = 0     # 0: no response
    reason: str = ""    # of a response that a node made itself
    ended: float = 0
    # answered; closed: the connection ended without a valid response;
    # gave-up: abandoned by the sender, or without a response at its deadline;
    # unsent: could not be sent
    outcome: str = ""
    detail: str = ""    # what was wrong with the response or the connection
    keys: tuple = ()    # one header each
    forged_organisation: str = ""


@dataclass
class Arrival:
    """A request as it arrived at a backend server."""

    id: str
    service: str
    instance: str
    at: float            # time of arrival
    executed: bool       # its execution was started
    caller: str
    matches: bool        # target and body are those that were sent
    finished: bool = False  # its execution has completed
    crashed: bool = False   # it ended the server
    cancelled_at: float = 0
    ended: float = 0     # time at which its execution completed or stopped
    organisation: str = ""  # name in the node's header
    key_seen: bool = False  # a header held a key


@dataclass
class Disturbance:
    """A fault or a planned operation during the run.

    `component` names a node or a backend server, or is `*` for the whole
    system.
    """

    component: str
    kind: str
    planned: bool
    start: float
    end: float = 0


@dataclass
class RateLimit:
    """A limit that a backend server announced in its responses."""

    instance: str
    rate: float  # requests per second
    start: float
    end: float = 0


@dataclass
class KeyHolding:
    """A key that an organisation holds or held."""

    organisation: str
    added_at: float
    # Time at which the store acknowledged the configuration without the key.
    revoked_at: float = 0


@dataclass
class Ledger:
    sent: dict = field(default_factory=dict)      # id: request
    arrivals: list = field(default_factory=list)
    disturbances: list = field(default_factory=list)
    # (time, {route: services}) of each published configuration
    configurations: list = field(default_factory=list)
    draining: dict = field(default_factory=dict)  # instance: drain start
    # instance that left without announcing it: removal of its entry
    removed: dict = field(default_factory=dict)
    rate_limits: list = field(default_factory=list)
    keys: dict = field(default_factory=dict)  # key: KeyHolding
    # (node, instance): time at which the node first passed on a response in
    # which the instance announced a limit, or that it leaves
    told_limit: dict = field(default_factory=dict)
    told_leaving: dict = field(default_factory=dict)
    harness_lag: list = field(default_factory=list)  # (time, lag in s)
    log: list = field(default_factory=list)  # (s since the start, text)
    started: float = field(default_factory=time.monotonic)

    def begin_disturbance(self, component, kind, planned=False):
        disturbance = Disturbance(component, kind, planned, time.monotonic())
        self.disturbances.append(disturbance)
        self.add_log_line(f"{component}: {kind} begins")
        return disturbance

    def end_disturbance(self, disturbance):
        disturbance.end = time.monotonic()
        self.add_log_line(
            f"{disturbance.component}: {disturbance.kind} ends")

    def add_log_line(self, text):
        self.log.append((time.monotonic() - self.started, text))

    def is_undisturbed(self, component, since, until, unplanned_only=False):
        """Tells whether no disturbance of a component overlaps a time span.

        A component of None stands for any component.
        """
        for disturbance in self.disturbances:
            if unplanned_only and disturbance.planned:
                continue
            if component is not None and disturbance.component not in (
                    component, "*"):
                continue
            if disturbance.start <= until and (
                    not disturbance.end or disturbance.end >= since):
                return False
        return True
