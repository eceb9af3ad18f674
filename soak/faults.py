"""Injects faults and planned operations that a seeded generator chooses.

They start at random intervals and may overlap.
"""

import asyncio
import itertools
import random
import signal
import time

import store_standin as platform_store
from soak import plan
from soak.client import REQUEST_DEADLINE_S, send_request
from soak.ledger import RateLimit, SentRequest
from soak.promises import CONTACT_S, DRAIN_S

MIN_DURATION_S = 0.5
MAX_DURATION_S = 4.0
UNDISTURBED_CRASHES_S = 12.0
MAX_CUT_S = 8.0
BURST_PAUSE_S = 0.04  # between the requests of a client
BEFORE_CUT_S = 0.5  # in which some servers leave
# A server that leaves during a cut ends this long after all nodes must know.
STAYS_S = 2.0
# Addresses in entries of another program, which are no addresses.
UNUSABLE_ADDRESSES = (
    "127.0.0.1\0:8080", "\0:8080", "[127.0.0.1]:8080", "]:8080", ".8:8080",
    "127.0.0.1:0", "127.0.0.1:8080\0", "[::1\0]:8080", "", ":")


class FaultInjector:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.ledger = fleet.ledger
        self.random = random.Random(seed)
        # For draws that must not change those of seeds of earlier failures.
        self.second_random = random.Random(f"second {seed}")
        self.cut_random = random.Random(f"cuts {seed}")
        # Pairs (aspect, item) that are being disturbed. An item is a node, a
        # backend server, the store or the name of a client setting.
        self.reserved = set()
        # A function that is listed twice is chosen twice as often.
        self.fault_functions = [
            self.kill_node, self.kill_node, self.pause_node,
            self.restart_node, self.restart_nodes_in_sequence,
            self.reload_settings, self.kill_several_nodes,
            self.delay_calls, self.reset_call_connections,
            self.drop_calls_one_way, self.drop_calls_both_ways,
            self.drop_store_traffic,
            self.change_store_mode, self.change_store_mode,
            self.compact_store, self.restore_store_copy,
            self.crash_backend, self.restart_backend, self.replace_backend,
            self.send_crashing_request, self.send_crashing_request,
            self.slow_backend, self.lose_responses, self.corrupt_responses,
            self.fail_requests, self.close_idle_connections,
            self.announce_rate_limit, self.announce_leaving,
            self.change_route_targets, self.change_timeout,
            self.abandon_requests, self.increase_request_rate]
        self.restart_tasks = set()
        for server in fleet.backends:
            server.on_crash = self.end_and_restart

    def draw_duration_s(self):
        return self.random.uniform(MIN_DURATION_S, MAX_DURATION_S)

    async def run(self, seconds):
        """Starts faults for a time, then waits until all have ended."""
        until = time.monotonic() + seconds
        tasks = {asyncio.create_task(self.write_unusable_entries(seconds)),
                 asyncio.create_task(self.cut_off_nodes_repeatedly(seconds))}
        if self.fleet.organisations is not None:
            tasks.add(asyncio.create_task(
                self.fleet.organisations.change_keys(self.fleet, seconds)))
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
            inject_fault = self.random.choice(self.fault_functions)
            tasks.add(asyncio.create_task(inject_fault()))
        await asyncio.gather(*tasks)
        # Undisturbed by other faults, every node must know of it in time.
        await self.send_crashing_request(UNDISTURBED_CRASHES_S)
        await asyncio.gather(*self.restart_tasks)
        await self.cut_off_nodes_under_load()

    async def write_unusable_entries(self, seconds):
        """Writes entries of another program, which name no instance.

        They are no disturbance: nodes must ignore them.
        """
        until = time.monotonic() + seconds
        addresses = itertools.cycle(self.second_random.sample(
            UNUSABLE_ADDRESSES, len(UNUSABLE_ADDRESSES)))
        for number, address in enumerate(addresses, 1):
            await asyncio.sleep(self.second_random.uniform(0.2, 1.2))
            if time.monotonic() >= until:
                return
            entry = platform_store.instance_entry(
                self.second_random.choice(plan.SERVICES), ("", 0), "z1",
                plan.BACKEND_SLOTS, int(time.time() * 1000), 1)
            key = f"{platform_store.INSTANCE_PREFIX}other-{number}"
            self.fleet.store.put(
                key, platform_store.with_address(entry, address))
            self.ledger.add_log_line(f"{key}: address {address!r}")

    def reserve_item(self, aspect, items):
        """Reserves a random item whose `aspect` no other fault disturbs.

        Returns None if there is no such item.
        """
        free_items = [item for item in items
                      if (aspect, item) not in self.reserved]
        if not free_items:
            return None
        chosen = self.random.choice(free_items)
        self.reserved.add((aspect, chosen))
        return chosen

    def release_item(self, aspect, item):
        self.reserved.discard((aspect, item))

    async def disturb_node(self, aspect, kind, apply_fault, clear_fault,
                           planned=False):
        """Applies and clears a fault at a random node, and records it.

        Does nothing if this aspect is already disturbed at every node.
        """
        node = self.reserve_item(aspect, self.fleet.nodes)
        if node is None:
            return
        disturbance = self.ledger.begin_disturbance(node.config.name, kind,
                                                    planned)
        await apply_fault(node)
        await clear_fault(node)
        self.ledger.end_disturbance(disturbance)
        self.release_item(aspect, node)

    async def kill_node(self):
        async def apply_fault(node):
            node.kill()
            await asyncio.sleep(self.draw_duration_s() / 2)

        async def clear_fault(node):
            node.start()
        await self.disturb_node("process", "kill", apply_fault, clear_fault)

    async def kill_several_nodes(self):
        nodes = [n for n in self.fleet.nodes
                 if ("process", n) not in self.reserved
                 and self.random.random() < 0.6]
        disturbance = self.ledger.begin_disturbance("*", "simultaneous kill")
        for node in nodes:
            self.reserved.add(("process", node))
            node.kill()
        await asyncio.sleep(self.draw_duration_s() / 2)
        for node in nodes:
            node.start()
            self.release_item("process", node)
        self.ledger.end_disturbance(disturbance)

    async def pause_node(self):
        async def apply_fault(node):
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.draw_duration_s())

        async def clear_fault(node):
            node.send_signal(signal.SIGCONT)
        await self.disturb_node("process", "pause", apply_fault, clear_fault)

    async def restart_node(self):
        async def apply_fault(node):
            if not await node.terminate():
                self.fleet.process_failures.append(
                    f"STOP {node.config.name} did not exit cleanly")

        async def clear_fault(node):
            node.start()
        await self.disturb_node("process", "stop", apply_fault, clear_fault,
                                planned=True)

    async def restart_nodes_in_sequence(self):
        for _ in range(self.random.randint(2, 4)):
            await self.restart_node()

    async def reload_settings(self):
        async def apply_fault(node):
            node.log_level = self.random.choice(["debug", "info"])
            node.write_settings()
            if self.random.random() < 0.7:
                node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)

        async def clear_fault(_):
            return
        await self.disturb_node("settings", "reload", apply_fault, clear_fault,
                                planned=True)

    async def disturb_calls(self, kind, change_proxy):
        """Disturbs the calls that a random node receives from other nodes."""
        async def apply_fault(node):
            node.call_proxy.fault_share = self.random.choice([0.3, 1.0])
            change_proxy(node.call_proxy)
            await asyncio.sleep(self.draw_duration_s())

        async def clear_fault(node):
            node.call_proxy.clear_faults()
        # The fault also affects the nodes that call this one.
        disturbance = self.ledger.begin_disturbance("*", kind)
        await self.disturb_node("calls", kind, apply_fault, clear_fault)
        self.ledger.end_disturbance(disturbance)

    async def delay_calls(self):
        await self.disturb_calls("delay", lambda proxy: setattr(
            proxy, "delay", self.random.uniform(0.02, 0.4)))

    async def reset_call_connections(self):
        await self.disturb_calls(
            "reset", lambda proxy: proxy.reset_connections(proxy.fault_share))

    async def drop_calls_one_way(self):
        await self.disturb_calls("one-way data loss", lambda proxy: setattr(
            proxy, self.random.choice(["drop_up", "drop_down"]), True))

    async def drop_calls_both_ways(self):
        def change_proxy(proxy):
            proxy.drop_up = proxy.drop_down = True
        await self.disturb_calls("silence", change_proxy)

    async def drop_store_traffic(self):
        async def apply_fault(node):
            node.store_proxy.drop_down = True
            node.store_proxy.drop_up = self.random.random() < 0.5
            await asyncio.sleep(self.draw_duration_s() * 2)

        async def clear_fault(node):
            node.store_proxy.clear_faults()
        await self.disturb_node("store connections", "store data loss",
                                apply_fault, clear_fault)

    async def cut_off_nodes_repeatedly(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self.cut_random.uniform(0.5, 4))
            await self.cut_off_nodes()

    async def cut_off_nodes_under_load(self):
        """Nodes use an instance that has left for some 0.1 s too long."""
        clients = self.fleet.clients
        previous = clients[0].pause_s
        for client in clients:
            client.pause_s = BURST_PAUSE_S
        await self.cut_off_nodes()
        for client in clients:
            client.pause_s = previous

    async def cut_off_nodes(self):
        """Cuts nodes off while the servers beside them leave.

        The links to the store, and mostly those from other nodes, carry
        nothing. The servers leave without announcing it, before, during or
        shortly after the cut.
        """
        chosen = [
            (node, server)
            for node, server in zip(self.fleet.nodes, self.fleet.backends)
            if not self.reserved & {("calls", node), ("backend", server),
                                    ("store connections", node)}]
        if not chosen:
            return
        chosen = self.cut_random.sample(
            chosen, self.cut_random.randint(1, len(chosen)))
        duration_s = self.cut_random.uniform(0.3, MAX_CUT_S)
        with_calls = self.cut_random.random() < 0.7
        end = time.monotonic() + BEFORE_CUT_S + duration_s
        await asyncio.gather(
            self.cut_links([node for node, _ in chosen], duration_s,
                           with_calls),
            *[self.leave_unannounced(
                server, self.cut_random.uniform(0, duration_s + 1), end)
              for _, server in chosen])

    async def cut_links(self, nodes, duration_s, with_calls):
        await asyncio.sleep(BEFORE_CUT_S)
        names = " ".join(node.config.name for node in nodes)
        disturbance = self.ledger.begin_disturbance("*", f"cut of {names}")
        proxies = [node.store_proxy for node in nodes]
        aspects = {("store connections", node) for node in nodes}
        if with_calls:
            proxies += [node.call_proxy for node in nodes]
            aspects |= {("calls", node) for node in nodes}
        self.reserved |= aspects
        for proxy in proxies:
            proxy.drop_up = proxy.drop_down = True
        await asyncio.sleep(duration_s)
        for proxy in proxies:
            proxy.clear_faults()
        self.reserved -= aspects
        self.ledger.end_disturbance(disturbance)

    async def leave_unannounced(self, server, delay_s, cut_end):
        self.reserved.add(("backend", server))
        await asyncio.sleep(delay_s)
        disturbance = self.ledger.begin_disturbance(
            "backend-" + server.config.name, "departure")
        server.heartbeat_task.cancel()
        self.fleet.store.delete(
            platform_store.INSTANCE_PREFIX + server.instance)
        left_at = time.monotonic()
        self.ledger.removed[server.instance] = left_at
        known_at = max(left_at + DRAIN_S, cut_end + CONTACT_S)
        await asyncio.sleep(known_at + STAYS_S - time.monotonic())
        server.stop()
        await asyncio.sleep(0.1)
        server.begin_lifetime(new_id=True)
        await server.start()
        self.ledger.end_disturbance(disturbance)
        self.release_item("backend", server)

    async def change_store_mode(self):
        store = self.fleet.store
        if self.reserve_item("store", [store]) is None:
            return
        mode = self.random.choice(["refuse", "silent", "slow", "lose"])
        disturbance = self.ledger.begin_disturbance("*", "store " + mode)
        store.mode = mode
        await asyncio.sleep(self.draw_duration_s() * 2)
        store.mode = "up"
        # Resets all connections, since some may wait for a response forever.
        store.compact()
        self.ledger.end_disturbance(disturbance)
        self.release_item("store", store)

    async def compact_store(self):
        disturbance = self.ledger.begin_disturbance("*", "store compaction")
        self.fleet.store.compact()
        self.ledger.end_disturbance(disturbance)

    async def restore_store_copy(self):
        """Replaces the store by a copy of an earlier state of it.

        Afterwards the operator, and the backend servers with their next
        report, write again what was lost; entries that nobody writes expire.
        """
        store = self.fleet.store
        if self.reserve_item("store", [store]) is None:
            return
        disturbance = self.ledger.begin_disturbance("*", "restored store")
        store.mode = "refuse"
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        store.restore_copy(self.random.uniform(0.5, 6))
        store.mode = "up"
        restored = time.monotonic()
        await asyncio.sleep(self.random.uniform(0, 0.5))
        self.fleet.put_configuration()
        for server in self.fleet.backends:
            if server.draining:
                server.publish_entry()
        await asyncio.sleep(platform_store.HEARTBEAT_S
                            * platform_store.MISSED_HEARTBEATS_BEFORE_REMOVAL)
        store.expire_instances(restored)
        self.ledger.end_disturbance(disturbance)
        self.release_item("store", store)

    async def disturb_backend(self, kind, apply_fault, clear_fault=None):
        """Applies a fault to a random backend server, and records it.

        Does nothing if every backend server is already disturbed.
        """
        server = self.reserve_item("backend", self.fleet.backends)
        if server is None:
            return
        disturbance = self.ledger.begin_disturbance(
            "backend-" + server.config.name, kind)
        await apply_fault(server)
        if clear_fault is not None:
            await asyncio.sleep(self.draw_duration_s())
            await clear_fault(server)
        self.ledger.end_disturbance(disturbance)
        self.release_item("backend", server)

    async def crash_backend(self):
        async def apply_fault(server):
            server.stop(remove=False)

        async def clear_fault(server):
            # The platform removes the entry of the crashed instance before
            # it starts a new one.
            self.fleet.store.delete(
                platform_store.INSTANCE_PREFIX + server.instance)
            server.begin_lifetime(new_id=True)
            await server.start()
        await self.disturb_backend("crash", apply_fault, clear_fault)

    def end_and_restart(self, server):
        """Ends a backend server that a request has crashed."""
        disturbance = self.ledger.begin_disturbance(
            "backend-" + server.config.name, "crash by a request")
        server.stop(remove=False)

        async def restart():
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            while ("backend", server) in self.reserved:
                await asyncio.sleep(0.05)
            if not server.running:
                self.reserved.add(("backend", server))
                server.begin_lifetime(new_id=self.random.random() < 0.7)
                await server.start()
                self.release_item("backend", server)
            self.ledger.end_disturbance(disturbance)
        self.restart_tasks.add(asyncio.create_task(restart()))

    async def send_crashing_request(self, duration_s=None):
        """Sends the same crashing request again and again.

        It comes through any node of one service, beside all other faults.
        """
        if duration_s is None:
            duration_s = self.random.uniform(5, 10)
        route = self.random.choice(self.fleet.client_routes())
        part = self.random.choice([plan.CRASH_PART, plan.CRASH_PART,
                                   plan.CHAIN_PART])
        target = (route.prefix.rstrip("/") + part
                  + f"{self.random.getrandbits(32):08x}")
        body = b"" if route.idempotent else b"x" * 2000
        service = self.random.choice(plan.SERVICES)
        nodes = [n for n in self.fleet.nodes if n.config.service == service]
        self.ledger.add_log_line(f"{service}: {target} begins")
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            node = self.random.choice(nodes)
            sent = SentRequest(f"{self.random.getrandbits(64):016x}", route,
                               node.config.name, target, body,
                               time.monotonic())
            if self.fleet.organisations is not None:
                sent.keys = (self.fleet.organisations.valid_keys()[0],)
            await send_request(self.ledger, sent,
                               node.config.listen_address("client"),
                               REQUEST_DEADLINE_S)
            await asyncio.sleep(self.random.uniform(0.02, 0.5))
        self.ledger.add_log_line(f"{service}: {target} ends")

    async def restart_backend(self):
        async def apply_fault(server):
            server.stop(remove=False)
            await asyncio.sleep(0.1)
            server.begin_lifetime(new_id=False)
            await server.start()
        await self.disturb_backend("restart with the same id", apply_fault)

    async def replace_backend(self):
        async def apply_fault(server):
            server.draining = True
            server.publish_entry()
            self.ledger.draining[server.instance] = time.monotonic()
            server.heartbeat_task.cancel()
            await asyncio.sleep(3)
            server.stop()
            await asyncio.sleep(0.1)
            server.begin_lifetime(new_id=True)
            await server.start()
        await self.disturb_backend("drain and replacement", apply_fault)

    async def change_backend(self, kind, attribute, value):
        async def apply_fault(server):
            setattr(server, attribute, value)

        async def clear_fault(server):
            setattr(server, attribute, 1.0 if attribute == "slow" else 0.0)
        await self.disturb_backend(kind, apply_fault, clear_fault)

    async def slow_backend(self):
        await self.change_backend("slow", "slow", self.random.uniform(3, 10))

    async def lose_responses(self):
        await self.change_backend("lost responses", "lose", 0.3)

    async def corrupt_responses(self):
        await self.change_backend("corrupt responses", "spoil", 0.3)

    async def fail_requests(self):
        await self.change_backend("partial failure", "grey", 0.5)

    async def close_idle_connections(self):
        async def apply_fault(server):
            server.close_idle_connections()
        await self.disturb_backend("close of idle connections", apply_fault)

    async def announce_rate_limit(self):
        """Lets a backend server announce a limit below its usual load."""
        server = self.reserve_item("limit", self.fleet.backends)
        if server is None:
            return
        limit = RateLimit(server.instance, self.random.uniform(1, 6),
                          time.monotonic())
        self.ledger.rate_limits.append(limit)
        server.rate_limit = limit.rate
        self.ledger.add_log_line(
            f"{server.instance}: limit {limit.rate:.1f} begins")
        await asyncio.sleep(self.random.uniform(5, 9))
        server.rate_limit = None
        limit.end = time.monotonic()
        self.ledger.add_log_line(f"{server.instance}: limit ends")
        self.release_item("limit", server)

    async def announce_leaving(self):
        """Lets a backend server announce its end in its responses only."""
        async def apply_fault(server):
            server.leaving = True
            await asyncio.sleep(4)
            server.stop()
            await asyncio.sleep(0.1)
            server.begin_lifetime(new_id=True)
            await server.start()
        await self.disturb_backend("announced end and replacement",
                                   apply_fault)

    async def change_route_targets(self):
        route = next(r for r in self.fleet.routes if r.name == "look")
        new_targets = self.random.choice([
            {"middle": 1}, {"deep": 1}, {"front": 1},
            {"middle": 70, "deep": 30}])
        await self.publish_configuration(route, targets=new_targets)

    async def change_timeout(self):
        route = self.random.choice(
            [r for r in self.fleet.routes if r.name in ("view", "look")])
        await self.publish_configuration(route, timeout_ms=self.random.choice(
            [400, 800, 1500]))

    async def publish_configuration(self, route, **change):
        disturbance = self.ledger.begin_disturbance(
            "*", f"configuration change {change}", True)
        self.fleet.publish_configuration(route, **change)
        await asyncio.sleep(0.1)
        self.ledger.end_disturbance(disturbance)

    async def change_clients(self, kind, attribute, value):
        """Changes an attribute of a random part of the clients for a time.

        This is logged only: a change of the load is no disturbance.
        """
        clients = [c for c in self.fleet.clients if self.random.random() < 0.4]
        previous = getattr(self.fleet.clients[0], attribute)
        if self.reserve_item("clients", [attribute]) is None:
            return
        for client in clients:
            setattr(client, attribute, value)
        self.ledger.add_log_line(kind)
        await asyncio.sleep(self.draw_duration_s())
        for client in clients:
            setattr(client, attribute, previous)
        self.release_item("clients", attribute)

    async def abandon_requests(self):
        await self.change_clients("clients abandon requests", "gives_up", 0.5)

    async def increase_request_rate(self):
        await self.change_clients("burst", "pause_s", BURST_PAUSE_S)
