"""The deployment under test: services, routes and loopback addresses."""

from dataclasses import dataclass, field

SERVICES = ("front", "middle", "deep")
# For each service, the service that it calls and the number of calls that it
# makes for one request before it responds.
DOWNSTREAM_CALLS = {"front": ("middle", 1), "middle": ("deep", 2),
                    "deep": (None, 0)}
BACKEND_SLOTS = 24  # requests that a backend server executes at a time
FAILURE_DOMAINS = ("z1", "z2", "z3")
# Retry budget of a node: within the window it may send RETRY_RATIO retries
# per request, plus RETRY_SLACK retries.
RETRY_RATIO = 0.2
RETRY_SLACK = 30
RETRY_WINDOW_S = 10
# Backend servers end while they execute a request with CRASH_PART in its
# target. One with CHAIN_PART makes calls with CRASH_PART.
CRASH_PART = "/crash-"
CHAIN_PART = "/chain-"
# Seeds with this remainder have organisations. Seeds of earlier failures have
# none.
ORGANISATIONS_DIVISOR = 4
ORGANISATIONS_REMAINDER = 3
REVOCATION_BOUND_S = 5.0
# Time from SIGTERM to SIGKILL. Seeds with this remainder have the short one.
# Seeds of earlier failures have the usual one.
STOP_GRACE_S = 6.0
SHORT_STOP_GRACE_S = 3.0
SHORT_GRACE_DIVISOR = 5
SHORT_GRACE_REMAINDER = 2


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
    anonymous: bool = False  # Its requests need no key.


def has_organisations(seed):
    return seed % ORGANISATIONS_DIVISOR == ORGANISATIONS_REMAINDER


def stop_grace_s(seed):
    return (SHORT_STOP_GRACE_S
            if seed % SHORT_GRACE_DIVISOR == SHORT_GRACE_REMAINDER
            else STOP_GRACE_S)


def initial_routes(has_anonymous_route=False):
    routes = [
        Route("view", "shop.example", "/view/", True, {"front": 1}),
        Route("buy", "shop.example", "/buy/", False, {"middle": 1},
              priority=0),
        Route("look", "shop.example", "/look/", True,
              {"middle": 70, "deep": 30}, anonymous=has_anonymous_route),
        Route("mark", "desk.example", "/mark/", False, {"deep": 1},
              timeout_ms=0, objective_ms=300),
    ]
    for service in SERVICES:
        routes.append(Route("call-" + service, service + ".example",
                            "/call/", True, {service: 1}, timeout_ms=700,
                            objective_ms=300, priority=1))
    return routes


@dataclass
class InstanceConfig:
    """Fixed addresses, service and failure domain of one instance under test.

    `network_octet` is the second octet of the loopback addresses; soak runs
    that overlap in time use different ones.
    """

    network_octet: int
    number: int
    service: str = ""
    domain: str = ""
    ports: dict = field(default_factory=lambda: {
        "client": 7000, "readiness": 7001, "call": 7002, "metrics": 7003,
        "backend": 7004, "store": 7005})

    def listen_address(self, port_name):
        """Address at which the instance's node listens."""
        return (f"127.{self.network_octet}.1.{self.number}",
                self.ports[port_name])

    def advertised_address(self, port_name):
        """Address of the backend server or of a proxy of the instance."""
        return (f"127.{self.network_octet}.2.{self.number}",
                self.ports[port_name])

    @property
    def name(self):
        return f"node-{self.number}"


def store_address(network_octet):
    return (f"127.{network_octet}.0.1", 7005)


def create_instance_configs(network_octet, nodes_per_service):
    configs = []
    for index in range(nodes_per_service * len(SERVICES)):
        configs.append(InstanceConfig(
            network_octet, index + 1, SERVICES[index % len(SERVICES)],
            FAILURE_DOMAINS[index // len(SERVICES) % len(FAILURE_DOMAINS)]))
    return configs
