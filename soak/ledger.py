"""What callers and backend servers saw during a run."""

import time
from dataclasses import dataclass, field


@dataclass
class Sent:
    """One attempt of a client, or a call of a running request."""

    id: str
    route: object
    node: str
    target: str
    body: bytes
    at: float
    parent: str = ""
    kept: bool = False  # sent on a connection that was used before
    status: int = 0     # 0: no answer
    ended: float = 0
    outcome: str = ""   # answered, closed, gave-up, unsent
    detail: str = ""


@dataclass
class Run:
    """One arrival at a backend server."""

    id: str
    service: str
    instance: str
    at: float
    executed: bool
    caller: str
    matches: bool        # method, target and body are those that were sent
    finished: bool = False
    withdrawn_at: float = 0
    ended: float = 0


@dataclass
class Disturbance:
    """Something done to the system; `who` is a node, or `*` for all."""

    who: str
    kind: str
    planned: bool
    start: float
    end: float = 0


@dataclass
class Ledger:
    sent: dict = field(default_factory=dict)
    runs: list = field(default_factory=list)
    disturbances: list = field(default_factory=list)
    versions: list = field(default_factory=list)  # (time, {route: services})
    leaving: dict = field(default_factory=dict)   # instance: time
    harness_lag: list = field(default_factory=list)  # (time, s)
    notes: list = field(default_factory=list)
    started: float = field(default_factory=time.monotonic)

    def disturb(self, who, kind, planned=False):
        entry = Disturbance(who, kind, planned, time.monotonic())
        self.disturbances.append(entry)
        self.note(f"{kind} of {who} begins")
        return entry

    def end(self, entry):
        entry.end = time.monotonic()
        self.note(f"{entry.kind} of {entry.who} ends")

    def note(self, text):
        self.notes.append((time.monotonic() - self.started, text))

    def calm(self, who, since, until, unplanned_only=False):
        """True when nothing was done to `who` (None: anybody) in a span."""
        for entry in self.disturbances:
            if unplanned_only and entry.planned:
                continue
            if who is not None and entry.who not in (who, "*"):
                continue
            if entry.start <= until and (not entry.end or entry.end >= since):
                return False
        return True
