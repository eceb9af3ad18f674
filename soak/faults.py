"""Faults, drawn from a seed, in series and overlapping."""

import asyncio
import random
import signal
import time

import store_standin as names

SHORTEST_S = 0.5
LONGEST_S = 4.0


class Faults:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.ledger = fleet.ledger
        self.random = random.Random(seed)
        self.busy = set()  # what is disturbed now: a node, a server, the store
        self.kinds = [
            self.kill, self.kill, self.pause, self.terminate, self.rolling,
            self.reload, self.herd_kill,
            self.delay_calls, self.reset_calls, self.cut_calls,
            self.silence_calls, self.cut_store,
            self.store_mode, self.store_mode, self.compact,
            self.crash_backend, self.restart_backend, self.replace_backend,
            self.slow_backend, self.lose_answers, self.spoil_answers,
            self.grey_backend, self.drop_idle, self.move_route,
            self.change_timeout, self.leave_early, self.burst]

    def span(self):
        return self.random.uniform(SHORTEST_S, LONGEST_S)

    async def run(self, seconds):
        """Starts faults until the time is over and waits for their ends."""
        until = time.monotonic() + seconds
        tasks = set()
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
            kind = self.random.choice(self.kinds)
            tasks.add(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)

    def pick(self, what, pool):
        """Takes something that nothing else disturbs in the same way."""
        free = [item for item in pool if (what, item) not in self.busy]
        if not free:
            return None
        chosen = self.random.choice(free)
        self.busy.add((what, chosen))
        return chosen

    def release(self, what, item):
        self.busy.discard((what, item))

    async def on_node(self, what, kind, begin, end, planned=False):
        node = self.pick(what, self.fleet.nodes)
        if node is None:
            return
        entry = self.ledger.disturb(node.place.name, kind, planned)
        await begin(node)
        await end(node)
        self.ledger.end(entry)
        self.release(what, node)

    async def kill(self):
        async def begin(node):
            node.kill()
            await asyncio.sleep(self.span() / 2)

        async def end(node):
            node.start()
        await self.on_node("process", "kill", begin, end)

    async def herd_kill(self):
        nodes = [n for n in self.fleet.nodes
                 if ("process", n) not in self.busy
                 and self.random.random() < 0.6]
        entry = self.ledger.disturb("*", "herd kill")
        for node in nodes:
            self.busy.add(("process", node))
            node.kill()
        await asyncio.sleep(self.span() / 2)
        for node in nodes:
            node.start()
            self.release("process", node)
        self.ledger.end(entry)

    async def pause(self):
        async def begin(node):
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(self.span())

        async def end(node):
            node.signal(signal.SIGCONT)
        await self.on_node("process", "pause", begin, end)

    async def terminate(self):
        async def begin(node):
            if not await node.terminate():
                self.fleet.violations.append(
                    f"STOP {node.place.name} did not end cleanly")

        async def end(node):
            node.start()
        await self.on_node("process", "stop", begin, end, planned=True)

    async def rolling(self):
        for _ in range(self.random.randint(2, 4)):
            await self.terminate()

    async def reload(self):
        async def begin(node):
            node.log_level = self.random.choice(["debug", "info"])
            node.write_settings()
            if self.random.random() < 0.7:
                node.signal(signal.SIGHUP)
            await asyncio.sleep(0.2)

        async def end(_):
            return
        await self.on_node("settings", "reload", begin, end, planned=True)

    async def on_calls(self, kind, change):
        async def begin(node):
            node.calls.share = self.random.choice([0.3, 1.0])
            change(node.calls)
            await asyncio.sleep(self.span())

        async def end(node):
            node.calls.clear()
        # Both ends of a connection feel it.
        entry = self.ledger.disturb("*", kind)
        await self.on_node("calls", kind, begin, end)
        self.ledger.end(entry)

    async def delay_calls(self):
        await self.on_calls("delay", lambda p: setattr(
            p, "delay", self.random.uniform(0.02, 0.4)))

    async def reset_calls(self):
        await self.on_calls("reset", lambda p: p.reset_all(p.share))

    async def cut_calls(self):
        await self.on_calls("one-way cut", lambda p: setattr(
            p, self.random.choice(["drop_up", "drop_down"]), True))

    async def silence_calls(self):
        def change(proxy):
            proxy.drop_up = proxy.drop_down = True
        await self.on_calls("silence", change)

    async def cut_store(self):
        async def begin(node):
            node.store.drop_down = True
            node.store.drop_up = self.random.random() < 0.5
            await asyncio.sleep(self.span() * 2)

        async def end(node):
            node.store.clear()
        await self.on_node("store path", "store cut", begin, end)

    async def store_mode(self):
        store = self.fleet.store
        if self.pick("store", [store]) is None:
            return
        mode = self.random.choice(["refuse", "silent", "slow", "lose"])
        entry = self.ledger.disturb("*", "store " + mode)
        store.mode = mode
        await asyncio.sleep(self.span() * 2)
        store.mode = "up"
        store.compact()  # Cuts the connections that fell silent.
        self.ledger.end(entry)
        self.release("store", store)

    async def compact(self):
        entry = self.ledger.disturb("*", "lost history")
        self.fleet.store.compact()
        self.ledger.end(entry)

    async def on_backend(self, kind, begin, end=None):
        server = self.pick("backend", self.fleet.backends)
        if server is None:
            return
        entry = self.ledger.disturb("backend-" + server.place.name, kind)
        await begin(server)
        if end is not None:
            await asyncio.sleep(self.span())
            await end(server)
        self.ledger.end(entry)
        self.release("backend", server)

    async def crash_backend(self):
        async def begin(server):
            server.stop(remove=False)

        async def end(server):
            # Its entry lapses before another takes its place.
            self.fleet.store.delete(names.INSTANCE_PREFIX + server.instance)
            server.new_lifetime(new_id=True)
            await server.start()
        await self.on_backend("crash", begin, end)

    async def restart_backend(self):
        async def begin(server):
            server.stop(remove=False)
            await asyncio.sleep(0.1)
            server.new_lifetime(new_id=False)
            await server.start()
        await self.on_backend("restart under the old id", begin)

    async def replace_backend(self):
        async def begin(server):
            server.leaving = True
            server.announce()
            self.ledger.leaving[server.instance] = time.monotonic()
            server.beat_task.cancel()
            await asyncio.sleep(3)
            server.stop()
            await asyncio.sleep(0.1)
            server.new_lifetime(new_id=True)
            await server.start()
        await self.on_backend("drain and replace", begin)

    async def with_field(self, kind, name, value):
        async def begin(server):
            setattr(server, name, value)

        async def end(server):
            setattr(server, name, 1.0 if name == "slow" else 0.0)
        await self.on_backend(kind, begin, end)

    async def slow_backend(self):
        await self.with_field("slow", "slow", self.random.uniform(3, 10))

    async def lose_answers(self):
        await self.with_field("lost answers", "lose", 0.3)

    async def spoil_answers(self):
        await self.with_field("spoiled answers", "spoil", 0.3)

    async def grey_backend(self):
        await self.with_field("grey failure", "grey", 0.5)

    async def drop_idle(self):
        async def begin(server):
            server.drop_idle()
        await self.on_backend("idle connections dropped", begin)

    async def move_route(self):
        route = next(r for r in self.fleet.routes if r.name == "look")
        parts = self.random.choice([
            {"middle": 1}, {"deep": 1}, {"front": 1},
            {"middle": 70, "deep": 30}])
        await self.publish(route, targets=parts)

    async def change_timeout(self):
        route = self.random.choice(
            [r for r in self.fleet.routes if r.name in ("view", "look")])
        await self.publish(route, timeout_ms=self.random.choice(
            [400, 800, 1500]))

    async def publish(self, route, **change):
        entry = self.ledger.disturb("*", f"configuration {change}", True)
        self.fleet.publish(route, **change)
        await asyncio.sleep(0.1)
        self.ledger.end(entry)

    async def on_clients(self, kind, name, value):
        clients = [c for c in self.fleet.clients if self.random.random() < 0.4]
        before = getattr(self.fleet.clients[0], name)
        if self.pick("clients", [name]) is None:
            return
        for client in clients:
            setattr(client, name, value)
        self.ledger.note(kind)
        await asyncio.sleep(self.span())
        for client in clients:
            setattr(client, name, before)
        self.release("clients", name)

    async def leave_early(self):
        await self.on_clients("clients leave early", "gives_up", 0.5)

    async def burst(self):
        await self.on_clients("burst", "pause_s", 0.04)
