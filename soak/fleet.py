"""All processes and stand-ins of one run."""

import asyncio
import dataclasses
import pathlib
import tempfile
import time

import store_standin as names
from soak import plan, promises
from soak.backend import Backend
from soak.client import Client
from soak.faults import Faults
from soak.ledger import Ledger
from soak.node import Node

START_S = 20.0    # within which all nodes are ready
HEAL_S = 8.0      # from the end of the last fault until service is judged
JUDGED_S = 3.0
LAG_CHECK_S = 0.02


class Fleet:
    def __init__(self, seed, lane, per_service, clients_per_node):
        self.seed = seed
        self.directory = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.ledger = Ledger()
        self.violations = []
        self.routes = plan.first_routes()
        self.version = 1
        self.store = names.Store(plan.store_address(lane), seed)
        places = plan.places(lane, per_service)
        self.nodes = [Node(place, self.directory, self.ledger,
                           seed * 1000 + place.number) for place in places]
        self.backends = [Backend(place, self.store, self.ledger,
                                 seed * 2000 + place.number)
                         for place in places]
        self.clients = [
            Client(node, self.ledger, self.client_routes,
                   seed * 3000 + index * 100 + node.place.number)
            for node in self.nodes for index in range(clients_per_node)]
        self.tasks = []

    def client_routes(self):
        return [route for route in self.routes
                if not route.name.startswith("call-")]

    def publish(self, changed=None, **change):
        if changed is not None:
            self.version += 3
            self.routes = [dataclasses.replace(r, **change) if r is changed
                           else r for r in self.routes]
        self.store.put(names.CONFIGURATION_KEY, names.configuration(
            self.version, self.routes, plan.SERVICES))
        self.ledger.versions.append(
            (time.monotonic(), {r.name: set(r.targets) for r in self.routes}))

    async def start(self):
        await self.store.start()
        self.publish()
        for server in self.backends:
            await server.start()
        for node in self.nodes:
            await node.open()
            self.tasks.append(asyncio.create_task(node.watch_readiness()))
        until = time.monotonic() + START_S
        while not all(node.in_rotation for node in self.nodes):
            if time.monotonic() > until:
                raise RuntimeError(f"not ready, logs in {self.directory}")
            await asyncio.sleep(0.05)
        self.tasks.append(asyncio.create_task(self.watch_processes()))
        self.tasks.append(asyncio.create_task(self.watch_lag()))

    async def watch_processes(self):
        while True:
            for node in self.nodes:
                if not node.expected_end and not node.alive():
                    self.violations.append(
                        f"ENDED {node.place.name} by itself, code "
                        f"{node.process.returncode}")
                    node.start()
            await asyncio.sleep(0.2)

    async def watch_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_CHECK_S)
            now = time.monotonic()
            self.ledger.harness_lag.append((now, now - before - LAG_CHECK_S))

    async def run(self, seconds):
        """Returns what was found and a line of figures."""
        try:
            await self.start()
            work = [asyncio.create_task(c.run()) for c in self.clients]
            await asyncio.sleep(2)
            await Faults(self, self.seed).run(seconds)
            self.ledger.note("all faults have ended")
            await asyncio.sleep(HEAL_S)
            since = time.monotonic()
            await asyncio.sleep(JUDGED_S)
            until = time.monotonic()
            for client in self.clients:
                client.running = False
            await asyncio.gather(*work)
            await asyncio.sleep(0.5)
        finally:
            self.stop()
        judge = promises.Judge(
            self.ledger, {n.place.name: n.place.service for n in self.nodes})
        found = self.violations + judge.judge()
        good, asked = judge.served_again(since, until)
        found += [f for f in judge.found if f not in found]
        served = sum(s.status == 200 for s in self.ledger.sent.values())
        worst = max(lag for _, lag in self.ledger.harness_lag)
        return found, (
            f"requests {len(self.ledger.sent)} served {served} "
            f"arrivals {len(self.ledger.runs)} "
            f"disturbances {len(self.ledger.disturbances)} after {good}/"
            f"{asked} unjudged {judge.unjudged} lag_ms {worst * 1000:.0f}")

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.kill_nodes()
        for node in self.nodes:
            node.calls.close()
            node.store.close()
        self.store.close()
        for server in self.backends:
            if server.server is not None:
                server.stop(remove=False)

    def kill_nodes(self):
        for node in self.nodes:
            node.kill()

    def write_notes(self, found):
        lines = [f"{at:8.2f} {text}" for at, text in self.ledger.notes]
        (self.directory / "faults.txt").write_text("\n".join(lines) + "\n")
        (self.directory / "found.txt").write_text("\n".join(found) + "\n")
