"""Stand-in for the backend server beside a node."""

import asyncio
import itertools
import random
import time

import store_standin as platform_store
from soak import http, plan
from soak.client import send_request, compute_signature
from soak.ledger import Arrival, SentRequest

MEAN_EXECUTION_S = 0.02
MAX_TIME_TO_CRASH_S = 0.05
IDLE_TIMEOUT_S = 8.0
# Shares of the spoiled responses that end with a very long trailer, and of the
# restarts under the same id before which the clock is set back.
LONG_TRAILER_SHARE = 0.3
CLOCK_SET_BACK_SHARE = 0.5
MAX_CLOCK_STEP_MS = 6000


class Backend:
    """Executes requests, calls the next service, and simulates faults."""

    instance_numbers = itertools.count(1)

    def __init__(self, config, store, ledger, seed):
        self.config = config
        self.store = store
        self.ledger = ledger
        self.random = random.Random(seed)
        # For draws that must not change those of seeds of earlier failures.
        self.second_random = random.Random(f"second {seed}")
        self.slow = 1.0     # factor of the execution time
        self.lose = 0.0     # share of the responses that are not sent
        # Share of the responses that are truncated or followed by a second
        # response.
        self.spoil = 0.0
        # Share of the requests that fail with status 500 without delay.
        self.grey = 0.0
        self.rate_limit = None  # requests per second that it announces
        self.leaving = False    # announces that it leaves
        self.on_crash = None    # called when a request has ended the server
        self.server = None
        self.running = False
        self.draining = False
        self.heartbeat_task = None
        self.begin_lifetime(new_id=True)

    def begin_lifetime(self, new_id):
        """Resets the state that a restart of the server process resets.

        `new_id` tells whether the server gets a new instance id.
        """
        self.started_at_ms = int(time.time() * 1000)
        if not new_id and self.second_random.random() < CLOCK_SET_BACK_SHARE:
            self.started_at_ms -= self.second_random.randrange(
                MAX_CLOCK_STEP_MS)
        if new_id:
            number = next(Backend.instance_numbers)
            self.instance = f"i-{self.config.service}-{number}"
        self.sequence = 0
        self.running_requests = 0
        self.writers = set()

    async def start(self):
        self.running = True
        self.draining = False
        self.leaving = False
        self.server = await asyncio.start_server(
            self.serve_connection, *self.config.advertised_address("backend"))
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self):
        while True:
            self.publish_entry()
            await asyncio.sleep(platform_store.HEARTBEAT_S)

    def publish_entry(self):
        """Writes the instance's entry to the store."""
        self.sequence += 1
        self.store.put(platform_store.INSTANCE_PREFIX + self.instance,
                       platform_store.instance_entry(
                           self.config.service,
                           self.config.advertised_address("backend"),
                           self.config.domain, plan.BACKEND_SLOTS,
                           self.started_at_ms, self.sequence, self.draining))

    def stop(self, remove=True):
        """Stops immediately and resets all connections, as after a crash.

        Without `remove`, the instance's entry stays in the store.
        """
        self.running = False
        self.heartbeat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            http.abort(writer)
        if remove:
            self.store.delete(platform_store.INSTANCE_PREFIX + self.instance)

    def close_idle_connections(self):
        for writer in list(self.writers):
            if not getattr(writer, "busy", False):
                http.abort(writer)

    async def serve_connection(self, reader, writer):
        self.writers.add(writer)
        writer.busy = False
        try:
            while True:
                message = await asyncio.wait_for(http.read_message(reader),
                                                 IDLE_TIMEOUT_S)
                if message is None:
                    break
                writer.busy = True
                if not await self.handle_request(message, reader, writer):
                    break
                writer.busy = False
        except (OSError, http.Malformed, asyncio.TimeoutError,
                asyncio.CancelledError):
            # The node closed the connection, the connection was idle, or the
            # run is over.
            pass
        finally:
            self.writers.discard(writer)
            http.abort(writer)

    async def handle_request(self, message, reader, writer):
        """Executes a request, or rejects it, and sends the response.

        Stops the execution when the node closes the connection. Returns false
        if the connection must be closed afterwards.
        """
        request_id = message.headers.get(platform_store.REQUEST_ID.lower(), "")
        expected_instance = message.headers.get(
            platform_store.EXPECTED_INSTANCE.lower())
        sent = self.ledger.sent.get(request_id)
        arrival = Arrival(
            request_id, self.config.service, self.instance,
            time.monotonic(), False,
            message.headers.get(platform_store.CALLER_SERVICE.lower(), ""),
            sent is not None and message.body == sent.body
            and message.words[1] == sent.target,
            organisation=message.headers.get(
                platform_store.ORGANISATION.lower(), ""),
            key_seen=platform_store.API_KEY.lower() in message.headers
            or any(key in value for key in self.ledger.keys
                   for value in message.headers.values()))
        self.ledger.arrivals.append(arrival)
        echo = {platform_store.REQUEST_ID: request_id}
        if expected_instance != self.instance:
            writer.write(http.response(421, echo).encode())
            return True
        if self.running_requests >= plan.BACKEND_SLOTS:
            writer.write(http.response(
                503, {**echo, platform_store.NOT_RUN: "1"}).encode())
            return True
        arrival.executed = True
        self.running_requests += 1
        crashes = plan.CRASH_PART in message.words[1]
        execution = asyncio.create_task(
            self.crash(arrival, self.instance, self.started_at_ms) if crashes
            else self.execute(message, request_id))
        disconnect = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({execution, disconnect},
                               return_when=asyncio.FIRST_COMPLETED)
            if not execution.done():
                arrival.cancelled_at = time.monotonic()
                return False
            arrival.finished = True
            return await self.send_response(execution.result(), echo, writer)
        finally:
            arrival.ended = time.monotonic()
            execution.cancel()
            disconnect.cancel()
            self.running_requests -= 1

    async def crash(self, arrival, instance, started_at_ms):
        """Ends the server process, as a request does that it cannot bear."""
        await asyncio.sleep(self.random.uniform(0.001, MAX_TIME_TO_CRASH_S))
        if (self.running and self.instance == instance
                and self.started_at_ms == started_at_ms):
            arrival.crashed = True
            self.on_crash(self)
        await asyncio.sleep(IDLE_TIMEOUT_S)

    async def execute(self, message, request_id):
        """Executes a request and returns the status of its response."""
        if self.random.random() < self.grey:
            return 500
        remaining_ms = message.headers.get(platform_store.DEADLINE_MS.lower(),
                                           "3000")
        deadline = time.monotonic() + int(remaining_ms) / 1000
        await asyncio.sleep(
            self.slow * MEAN_EXECUTION_S * self.random.uniform(0.3, 1.7))
        service, call_count = plan.DOWNSTREAM_CALLS[self.config.service]
        for _ in range(call_count):
            suffix = f"{self.random.getrandbits(32):08x}"
            target = f"/call/{suffix}"
            if plan.CHAIN_PART in message.words[1]:
                token = message.words[1].partition(plan.CHAIN_PART)[2]
                target = "/call" + plan.CRASH_PART + token
            route = next(r for r in plan.initial_routes()
                         if r.name == "call-" + service)
            call = SentRequest(f"{request_id}.{suffix}", route,
                               self.config.name, target, b"",
                               time.monotonic(), parent=request_id)
            if self.ledger.keys and suffix.startswith("0"):
                call.forged_organisation = "forged-by-a-server"
            await send_request(self.ledger, call,
                           self.config.listen_address("client"),
                           deadline - time.monotonic())
            if call.status != 200:
                return 504 if time.monotonic() >= deadline else 500
        return 200

    async def send_response(self, status, echo, writer):
        """Sends a response, or injects a fault instead.

        `echo` holds the headers copied from the request. Returns false if
        the connection must be closed afterwards.
        """
        if self.random.random() < self.lose:
            return False
        body = f"{echo[platform_store.REQUEST_ID]} {self.instance}".encode()
        headers = {**echo, platform_store.SIGNATURE: compute_signature(
            echo[platform_store.REQUEST_ID], self.instance)}
        if self.rate_limit is not None:
            headers[platform_store.RATE_LIMIT] = f"{self.rate_limit:.1f}"
        if self.leaving:
            headers[platform_store.LEAVING] = "1"
        data = http.response(status, headers, body).encode()
        if self.random.random() < self.spoil:
            if self.random.random() < 0.5:
                writer.write(data[:self.random.randrange(len(data))])
                await writer.drain()
                return False
            if self.second_random.random() < LONG_TRAILER_SHARE:
                data = self.with_long_trailer(status, headers, body)
            else:
                data += data.replace(b"200", b"201", 1)
        writer.write(data)
        await writer.drain()
        return True

    def with_long_trailer(self, status, headers, body):
        """Returns a chunked response with a trailer of 60 to 100 KB."""
        lines = [f"HTTP/1.1 {status} Answer", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        length = self.second_random.randrange(60_000, 100_000)
        return ("\r\n".join(lines).encode() + b"\r\n\r\n"
                + b"%x\r\n%s\r\n0\r\n" % (len(body), body)
                + b"Trace: " + b"a" * length + b"\r\n\r\n")
