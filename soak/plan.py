"""The deployment that the soak runs: services, routes, addresses."""

from dataclasses import dataclass, field

SERVICES = ("front", "middle", "deep")
# Service that a run calls, and how often, before it answers.
CALLS = {"front": ("middle", 1), "middle": ("deep", 2), "deep": (None, 0)}
SLOTS = 24
DOMAINS = ("z1", "z2", "z3")
REPEAT_RATIO = 0.2
REPEAT_SLACK = 30
REPEAT_WINDOW_S = 10


@dataclass
class Route:
    name: str
    host: str
    prefix: str
    idempotent: bool
    targets: dict  # service: weight
    timeout_ms: int = 1500
    objective_ms: int = 1000
    priority: int = 2
    max_attempts: int = 2


def first_routes():
    routes = [
        Route("view", "shop.example", "/view/", True, {"front": 1}),
        Route("buy", "shop.example", "/buy/", False, {"middle": 1},
              priority=0),
        Route("look", "shop.example", "/look/", True,
              {"middle": 70, "deep": 30}),
        Route("mark", "desk.example", "/mark/", False, {"deep": 1},
              timeout_ms=0, objective_ms=300),
    ]
    for service in SERVICES:
        routes.append(Route("call-" + service, service + ".example",
                            "/call/", True, {service: 1}, timeout_ms=700,
                            objective_ms=300, priority=1))
    return routes


@dataclass
class Place:
    """Addresses of one machine; `lane` keeps parallel soaks apart."""

    lane: int
    number: int
    service: str = ""
    domain: str = ""
    ports: dict = field(default_factory=lambda: {
        "client": 7000, "readiness": 7001, "call": 7002, "metrics": 7003,
        "backend": 7004, "store": 7005})

    def own(self, what):
        return (f"127.{self.lane}.1.{self.number}", self.ports[what])

    def listed(self, what):
        """Behind the proxy, as the other machines know it."""
        return (f"127.{self.lane}.2.{self.number}", self.ports[what])

    @property
    def name(self):
        return f"node-{self.number}"


def store_address(lane):
    return (f"127.{lane}.0.1", 7005)


def places(lane, per_service):
    result = []
    for index in range(per_service * len(SERVICES)):
        result.append(Place(lane, index + 1, SERVICES[index % len(SERVICES)],
                            DOMAINS[index // len(SERVICES) % len(DOMAINS)]))
    return result
