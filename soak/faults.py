"""Injects faults and planned operations, drawn from a seed.

They follow one another at random and may overlap.
"""

import asyncio
import random
import signal
import time

import store_standin as platform_store

MIN_DURATION_S = 0.5
MAX_DURATION_S = 4.0


class FaultInjector:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.ledger = fleet.ledger
        self.random = random.Random(seed)
        # (aspect, item) of what is being disturbed: an item is a node, a
        # backend server, the store or a client setting.
        self.reserved = set()
        # A kind that is listed twice is drawn twice as often.
        self.kinds = [
            self.kill_node, self.kill_node, self.pause_node,
            self.restart_node, self.restart_in_sequence,
            self.reload_settings, self.kill_several_nodes,
            self.delay_calls, self.reset_calls, self.cut_calls,
            self.silence_calls, self.cut_store,
            self.change_store_mode, self.change_store_mode,
            self.compact_store,
            self.crash_backend, self.restart_backend, self.replace_backend,
            self.slow_backend, self.lose_responses, self.corrupt_responses,
            self.fail_requests, self.close_idle_connections, self.move_route,
            self.change_timeout, self.abandon_requests, self.burst_requests]

    def draw_duration_s(self):
        return self.random.uniform(MIN_DURATION_S, MAX_DURATION_S)

    async def run(self, seconds):
        """Starts faults for a time and waits until all of them have ended."""
        until = time.monotonic() + seconds
        tasks = set()
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
            kind = self.random.choice(self.kinds)
            tasks.add(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)

    def reserve(self, aspect, pool):
        """Reserves an item of which no other fault disturbs this aspect.

        Returns None if there is no such item.
        """
        free = [item for item in pool if (aspect, item) not in self.reserved]
        if not free:
            return None
        chosen = self.random.choice(free)
        self.reserved.add((aspect, chosen))
        return chosen

    def release(self, aspect, item):
        self.reserved.discard((aspect, item))

    async def disturb_node(self, aspect, kind, begin, end, planned=False):
        node = self.reserve(aspect, self.fleet.nodes)
        if node is None:
            return
        entry = self.ledger.begin_disturbance(node.config.name, kind, planned)
        await begin(node)
        await end(node)
        self.ledger.end_disturbance(entry)
        self.release(aspect, node)

    async def kill_node(self):
        async def begin(node):
            node.kill()
            await asyncio.sleep(self.draw_duration_s() / 2)

        async def end(node):
            node.start()
        await self.disturb_node("process", "kill", begin, end)

    async def kill_several_nodes(self):
        nodes = [n for n in self.fleet.nodes
                 if ("process", n) not in self.reserved
                 and self.random.random() < 0.6]
        entry = self.ledger.begin_disturbance("*", "simultaneous kill")
        for node in nodes:
            self.reserved.add(("process", node))
            node.kill()
        await asyncio.sleep(self.draw_duration_s() / 2)
        for node in nodes:
            node.start()
            self.release("process", node)
        self.ledger.end_disturbance(entry)

    async def pause_node(self):
        async def begin(node):
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.draw_duration_s())

        async def end(node):
            node.send_signal(signal.SIGCONT)
        await self.disturb_node("process", "pause", begin, end)

    async def restart_node(self):
        async def begin(node):
            if not await node.terminate():
                self.fleet.process_failures.append(
                    f"STOP {node.config.name} did not exit cleanly")

        async def end(node):
            node.start()
        await self.disturb_node("process", "stop", begin, end, planned=True)

    async def restart_in_sequence(self):
        for _ in range(self.random.randint(2, 4)):
            await self.restart_node()

    async def reload_settings(self):
        async def begin(node):
            node.log_level = self.random.choice(["debug", "info"])
            node.write_settings()
            if self.random.random() < 0.7:
                node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)

        async def end(_):
            return
        await self.disturb_node("settings", "reload", begin, end, planned=True)

    async def disturb_calls(self, kind, change):
        async def begin(node):
            node.call_proxy.share = self.random.choice([0.3, 1.0])
            change(node.call_proxy)
            await asyncio.sleep(self.draw_duration_s())

        async def end(node):
            node.call_proxy.clear()
        # The fault also affects the nodes that call this one.
        entry = self.ledger.begin_disturbance("*", kind)
        await self.disturb_node("calls", kind, begin, end)
        self.ledger.end_disturbance(entry)

    async def delay_calls(self):
        await self.disturb_calls("delay", lambda p: setattr(
            p, "delay", self.random.uniform(0.02, 0.4)))

    async def reset_calls(self):
        await self.disturb_calls("reset", lambda p: p.reset_all(p.share))

    async def cut_calls(self):
        await self.disturb_calls("one-way cut", lambda p: setattr(
            p, self.random.choice(["drop_up", "drop_down"]), True))

    async def silence_calls(self):
        def change(proxy):
            proxy.drop_up = proxy.drop_down = True
        await self.disturb_calls("silence", change)

    async def cut_store(self):
        async def begin(node):
            node.store_proxy.drop_down = True
            node.store_proxy.drop_up = self.random.random() < 0.5
            await asyncio.sleep(self.draw_duration_s() * 2)

        async def end(node):
            node.store_proxy.clear()
        await self.disturb_node("store path", "store cut", begin, end)

    async def change_store_mode(self):
        store = self.fleet.store
        if self.reserve("store", [store]) is None:
            return
        mode = self.random.choice(["refuse", "silent", "slow", "lose"])
        entry = self.ledger.begin_disturbance("*", "store " + mode)
        store.mode = mode
        await asyncio.sleep(self.draw_duration_s() * 2)
        store.mode = "up"
        store.compact()  # Closes the connections that no longer respond.
        self.ledger.end_disturbance(entry)
        self.release("store", store)

    async def compact_store(self):
        entry = self.ledger.begin_disturbance("*", "store compaction")
        self.fleet.store.compact()
        self.ledger.end_disturbance(entry)

    async def disturb_backend(self, kind, begin, end=None):
        server = self.reserve("backend", self.fleet.backends)
        if server is None:
            return
        entry = self.ledger.begin_disturbance(
            "backend-" + server.config.name, kind)
        await begin(server)
        if end is not None:
            await asyncio.sleep(self.draw_duration_s())
            await end(server)
        self.ledger.end_disturbance(entry)
        self.release("backend", server)

    async def crash_backend(self):
        async def begin(server):
            server.stop(remove=False)

        async def end(server):
            # The platform removes the entry before a new instance starts.
            self.fleet.store.delete(
                platform_store.INSTANCE_PREFIX + server.instance)
            server.begin_lifetime(new_id=True)
            await server.start()
        await self.disturb_backend("crash", begin, end)

    async def restart_backend(self):
        async def begin(server):
            server.stop(remove=False)
            await asyncio.sleep(0.1)
            server.begin_lifetime(new_id=False)
            await server.start()
        await self.disturb_backend("restart with the same id", begin)

    async def replace_backend(self):
        async def begin(server):
            server.draining = True
            server.publish_entry()
            self.ledger.draining[server.instance] = time.monotonic()
            server.heartbeat_task.cancel()
            await asyncio.sleep(3)
            server.stop()
            await asyncio.sleep(0.1)
            server.begin_lifetime(new_id=True)
            await server.start()
        await self.disturb_backend("drain and replacement", begin)

    async def change_backend(self, kind, name, value):
        async def begin(server):
            setattr(server, name, value)

        async def end(server):
            setattr(server, name, 1.0 if name == "slow" else 0.0)
        await self.disturb_backend(kind, begin, end)

    async def slow_backend(self):
        await self.change_backend("slow", "slow", self.random.uniform(3, 10))

    async def lose_responses(self):
        await self.change_backend("lost responses", "lose", 0.3)

    async def corrupt_responses(self):
        await self.change_backend("corrupt responses", "spoil", 0.3)

    async def fail_requests(self):
        await self.change_backend("partial failure", "grey", 0.5)

    async def close_idle_connections(self):
        async def begin(server):
            server.close_idle_connections()
        await self.disturb_backend("close of idle connections", begin)

    async def move_route(self):
        route = next(r for r in self.fleet.routes if r.name == "look")
        new_targets = self.random.choice([
            {"middle": 1}, {"deep": 1}, {"front": 1},
            {"middle": 70, "deep": 30}])
        await self.publish(route, targets=new_targets)

    async def change_timeout(self):
        route = self.random.choice(
            [r for r in self.fleet.routes if r.name in ("view", "look")])
        await self.publish(route, timeout_ms=self.random.choice(
            [400, 800, 1500]))

    async def publish(self, route, **change):
        entry = self.ledger.begin_disturbance(
            "*", f"configuration {change}", True)
        self.fleet.publish(route, **change)
        await asyncio.sleep(0.1)
        self.ledger.end_disturbance(entry)

    async def change_clients(self, kind, name, value):
        clients = [c for c in self.fleet.clients if self.random.random() < 0.4]
        previous = getattr(self.fleet.clients[0], name)
        if self.reserve("clients", [name]) is None:
            return
        for client in clients:
            setattr(client, name, value)
        self.ledger.add_log_line(kind)
        await asyncio.sleep(self.draw_duration_s())
        for client in clients:
            setattr(client, name, previous)
        self.release("clients", name)

    async def abandon_requests(self):
        await self.change_clients("clients abandon requests", "gives_up", 0.5)

    async def burst_requests(self):
        await self.change_clients("burst", "pause_s", 0.04)
