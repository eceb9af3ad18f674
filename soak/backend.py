"""Stand-in of a backend server beside a node."""

import asyncio
import itertools
import random
import time

import store_standin as names
from soak import http, plan
from soak.client import exchange, signature
from soak.ledger import Run, Sent

WORK_S = 0.02
IDLE_S = 8.0  # an idle connection is closed after this time


class Backend:
    """Runs requests, calls the next service, and misbehaves when told."""

    lifetimes = itertools.count(1)

    def __init__(self, place, store, ledger, seed):
        self.place = place
        self.store = store
        self.ledger = ledger
        self.random = random.Random(seed)
        self.slow = 1.0
        self.lose = 0.0     # share of answers that are lost
        self.spoil = 0.0    # share of answers that are cut or followed by junk
        self.grey = 0.0     # share of requests that fail at once
        self.server = None
        self.leaving = False
        self.beat_task = None
        self.new_lifetime(new_id=True)

    def new_lifetime(self, new_id):
        self.born = int(time.time() * 1000)
        if new_id:
            number = next(Backend.lifetimes)
            self.instance = f"i-{self.place.service}-{number}"
        self.sequence = 0
        self.running = 0
        self.writers = set()

    async def start(self):
        self.leaving = False
        self.server = await asyncio.start_server(
            self.serve, *self.place.listed("backend"))
        self.beat_task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.announce()
            await asyncio.sleep(names.HEARTBEAT_S)

    def announce(self):
        self.sequence += 1
        self.store.put(names.INSTANCE_PREFIX + self.instance,
                       names.instance_entry(
                           self.place.service, self.place.listed("backend"),
                           self.place.domain, plan.SLOTS, self.born,
                           self.sequence, self.leaving))

    def stop(self, remove=True):
        """Ends at once, as after a crash."""
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            http.abort(writer)
        if remove:
            self.store.delete(names.INSTANCE_PREFIX + self.instance)

    def drop_idle(self):
        for writer in list(self.writers):
            if not getattr(writer, "busy", False):
                http.abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.busy = False
        try:
            while True:
                message = await asyncio.wait_for(http.read_message(reader),
                                                 IDLE_S)
                if message is None:
                    break
                writer.busy = True
                if not await self.handle(message, reader, writer):
                    break
                writer.busy = False
        except (OSError, http.Malformed, asyncio.TimeoutError,
                asyncio.CancelledError):
            pass  # The node closed, the connection was idle, or the run is over.
        finally:
            self.writers.discard(writer)
            http.abort(writer)

    async def handle(self, message, reader, writer):
        """Returns false when the connection ends with this request."""
        request_id = message.headers.get(names.REQUEST_ID.lower(), "")
        expected = message.headers.get(names.EXPECTED_INSTANCE.lower())
        sent = self.ledger.sent.get(request_id)
        run = Run(request_id, self.place.service, self.instance,
                  time.monotonic(), False,
                  message.headers.get(names.CALLER_SERVICE.lower(), ""),
                  sent is not None and message.body == sent.body
                  and message.words[1] == sent.target)
        self.ledger.runs.append(run)
        echo = {names.REQUEST_ID: request_id}
        if expected != self.instance:
            writer.write(http.response(421, echo).encode())
            return True
        if self.running >= plan.SLOTS:
            writer.write(
                http.response(503, {**echo, names.NOT_RUN: "1"}).encode())
            return True
        run.executed = True
        self.running += 1
        work = asyncio.create_task(self.work(message, request_id))
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, closed},
                               return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                run.withdrawn_at = time.monotonic()
                return False
            run.finished = True
            return await self.reply(work.result(), echo, writer)
        finally:
            run.ended = time.monotonic()
            work.cancel()
            closed.cancel()
            self.running -= 1

    async def work(self, message, request_id):
        if self.random.random() < self.grey:
            return 500
        left = message.headers.get(names.DEADLINE_MS.lower(), "3000")
        until = time.monotonic() + int(left) / 1000
        await asyncio.sleep(
            self.slow * WORK_S * self.random.uniform(0.3, 1.7))
        service, times = plan.CALLS[self.place.service]
        for _ in range(times):
            part = f"{self.random.getrandbits(32):08x}"
            route = next(r for r in plan.first_routes()
                         if r.name == "call-" + service)
            call = Sent(f"{request_id}.{part}", route, self.place.name,
                        f"/call/{part}", b"", time.monotonic(),
                        parent=request_id)
            await exchange(self.ledger, call, self.place.own("client"),
                           until - time.monotonic())
            if call.status != 200:
                return 504 if time.monotonic() >= until else 500
        return 200

    async def reply(self, status, echo, writer):
        if self.random.random() < self.lose:
            return False
        body = f"{echo[names.REQUEST_ID]} {self.instance}".encode()
        headers = {**echo, names.SIGNATURE: signature(
            echo[names.REQUEST_ID], self.instance)}
        data = http.response(status, headers, body).encode()
        if self.random.random() < self.spoil:
            if self.random.random() < 0.5:
                writer.write(data[:self.random.randrange(len(data))])
                await writer.drain()
                return False
            data += data.replace(b"200", b"201", 1)
        writer.write(data)
        await writer.drain()
        return True
