"""The node processes and stand-ins of one run."""

import asyncio
import dataclasses
import pathlib
import tempfile
import time

import store_standin as platform_store
from soak import plan, promises
from soak.backend import Backend
from soak.client import Client
from soak.faults import FaultInjector
from soak.ledger import Ledger
from soak.node import Node
from soak.organisations import Organisations

STARTUP_TIMEOUT_S = 20.0  # until all nodes are ready
RECOVERY_S = 8.0          # from the end of the last fault to the check
RECOVERY_CHECK_S = 3.0    # time span whose requests are then checked
LAG_SAMPLE_INTERVAL_S = 0.02


class Fleet:
    def __init__(self, seed, network_octet, nodes_per_service,
                 clients_per_node):
        self.seed = seed
        self.directory = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.ledger = Ledger()
        self.process_failures = []
        self.organisations = (Organisations(self.ledger, seed)
                              if plan.has_organisations(seed) else None)
        self.routes = plan.initial_routes(self.organisations is not None)
        self.version = 1
        self.store = platform_store.Store(plan.store_address(network_octet),
                                          seed)
        configs = plan.create_instance_configs(network_octet,
                                               nodes_per_service)
        self.nodes = [Node(config, self.directory, self.ledger,
                           seed * 1000 + config.number,
                           plan.stop_grace_s(seed),
                           self.organisations is not None)
                      for config in configs]
        self.backends = [Backend(config, self.store, self.ledger,
                                 seed * 2000 + config.number)
                         for config in configs]
        self.clients = [
            Client(node, self.ledger, self.client_routes,
                   seed * 3000 + index * 100 + node.config.number,
                   self.organisations)
            for node in self.nodes for index in range(clients_per_node)]
        self.tasks = []

    def client_routes(self):
        return [route for route in self.routes
                if not route.name.startswith("call-")]

    def publish_configuration(self, changed_route=None, **change):
        """Publishes the configuration.

        `change` holds new values for fields of `changed_route`, if given.
        """
        if changed_route is not None:
            self.version += 3
            self.routes = [
                dataclasses.replace(r, **change) if r is changed_route else r
                for r in self.routes]
        self.put_configuration()
        self.ledger.configurations.append(
            (time.monotonic(), {r.name: set(r.targets) for r in self.routes}))

    def publish_keys(self):
        self.version += 3
        self.publish_configuration()

    def put_configuration(self):
        organisations = (None if self.organisations is None
                         else self.organisations.rows())
        self.store.put(
            platform_store.CONFIGURATION_KEY, platform_store.configuration(
                self.version, self.routes, plan.SERVICES, organisations))

    async def start(self):
        await self.store.start()
        self.publish_configuration()
        for server in self.backends:
            await server.start()
        for node in self.nodes:
            await node.start_with_proxies()
            self.tasks.append(asyncio.create_task(node.watch_readiness()))
        until = time.monotonic() + STARTUP_TIMEOUT_S
        while not all(node.in_rotation for node in self.nodes):
            if time.monotonic() > until:
                raise RuntimeError(
                    f"nodes are not ready, logs in {self.directory}")
            await asyncio.sleep(0.05)
        self.tasks.append(asyncio.create_task(self.restart_exited_nodes()))
        self.tasks.append(asyncio.create_task(self.measure_lag()))

    async def restart_exited_nodes(self):
        while True:
            for node in self.nodes:
                if not node.exit_expected and not node.is_alive():
                    self.process_failures.append(
                        f"ENDED {node.config.name} exited unexpectedly, code "
                        f"{node.process.returncode}")
                    node.start()
            await asyncio.sleep(0.2)

    async def measure_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            now = time.monotonic()
            self.ledger.harness_lag.append(
                (now, now - before - LAG_SAMPLE_INTERVAL_S))

    async def run(self, seconds):
        """Runs the soak; returns its violations and the summary line."""
        try:
            await self.start()
            client_tasks = [asyncio.create_task(c.run()) for c in self.clients]
            await asyncio.sleep(2)
            await FaultInjector(self, self.seed).run(seconds)
            self.ledger.add_log_line("all faults have ended")
            await asyncio.sleep(RECOVERY_S)
            since = time.monotonic()
            await asyncio.sleep(RECOVERY_CHECK_S)
            until = time.monotonic()
            for client in self.clients:
                client.running = False
            await asyncio.gather(*client_tasks)
            await asyncio.sleep(0.5)
        finally:
            self.stop()
        checker = promises.PromiseChecker(
            self.ledger,
            {n.config.name: n.config.service for n in self.nodes})
        violations = self.process_failures + checker.check_all()
        successful, requests = checker.check_recovery(since, until)
        violations += [v for v in checker.violations if v not in violations]
        served = sum(s.status == 200 for s in self.ledger.sent.values())
        max_lag_s = max(lag for _, lag in self.ledger.harness_lag)
        return violations, (
            f"requests {len(self.ledger.sent)} served {served} "
            f"arrivals {len(self.ledger.arrivals)} "
            f"disturbances {len(self.ledger.disturbances)} "
            f"crashes {sum(a.crashed for a in self.ledger.arrivals)} "
            f"after {successful}/{requests} "
            f"unjudged {checker.skipped_timing_checks} "
            f"lag_ms {max_lag_s * 1000:.0f}")

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.kill_nodes()
        for node in self.nodes:
            node.call_proxy.close()
            node.store_proxy.close()
        self.store.close()
        for server in self.backends:
            if server.server is not None:
                server.stop(remove=False)

    def kill_nodes(self):
        for node in self.nodes:
            node.kill()

    def write_reports(self, violations):
        lines = [f"{at:8.2f} {text}" for at, text in self.ledger.log]
        (self.directory / "faults.txt").write_text("\n".join(lines) + "\n")
        (self.directory / "found.txt").write_text(
            "\n".join(violations) + "\n")
