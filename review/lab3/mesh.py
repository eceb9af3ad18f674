"""A small deployment on loopback: real nodes between stand-ins.

Stand-ins: the platform's store, backend servers and clients, as the users'
pages describe them. Each machine has a loopback address of its own, since the
ports of all machines of a deployment are the same.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
NODE = os.path.join(REPOSITORY, "target", "apps", "jujubespand")

HEARTBEAT_S = 1.5
GRACE_S = 6


def host_of(number):
    """Loopback address of a machine, different in each run."""
    return "127.%d.%d.%d" % (RUN_NETWORK[0], RUN_NETWORK[1], number)


# Ends the nodes also when the case itself is stopped.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
RUN_NETWORK = (random.randrange(64, 250), random.randrange(1, 250))


def free_ports(host, count):
    """Different ports that are free at an address."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def add(self, what, **fields):
        text = " ".join("%s=%s" % item for item in fields.items())
        self.file.write("%8.3f %s %s\n" % (
            time.monotonic() - self.started_at, what, text))
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = []
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))
    return line.decode("latin-1").rstrip("\r\n"), headers


def header(headers, name, default=""):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return default


async def read_body(reader, headers, until_close=False):
    if "chunked" in header(headers, "Transfer-Encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    length = header(headers, "Content-Length")
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if until_close else b""


class Store:
    """The platform's store: one revision counter, linearizable answers."""

    def __init__(self, host):
        self.address = (host, free_ports(host, 1)[0])
        self.items = {}
        self.events = []  # (revision, event)
        self.revision = 10
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes a value; returns the time of the confirmation."""
        self.revision += 1
        created = self.items.get(key, {"created": self.revision})["created"]
        item = {"key": key, "rev": self.revision, "created": created,
                "lease": 0, "value": base64.b64encode(value).decode()}
        self.items[key] = item
        self.events.append((self.revision, item))
        self.notify()
        return time.monotonic()

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return time.monotonic()
        self.revision += 1
        self.events.append((self.revision, {
            "key": key, "rev": self.revision, "tombstoned": True}))
        self.notify()
        return time.monotonic()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                line, headers = message
                await read_body(reader, headers)
                status, body = await self.answer(line.split()[1])
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target):
        parts = urlsplit(target)
        query = {key: value[0] for key, value in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        await asyncio.sleep(0.002)
        if parts.path == "/-/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and key > after)
            page = keys[:500]
            return 200, {"items": [self.items[key] for key in page],
                         "hasMore": len(page) < len(keys),
                         "asOf": self.revision}
        if parts.path == "/-/kv-watch":
            after = int(query.get("after", 0))
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                events = [event for revision, event in self.events
                          if revision > after
                          and event["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "asOf": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if parts.path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, {**item, "asOf": self.revision}
        return 404, {}


class Upstream:
    """A backend server; `work` is called for each request that it runs."""

    numbers = itertools.count(1)

    def __init__(self, mesh, machine, service, zone):
        self.mesh = mesh
        self.machine = machine
        self.service = service
        self.zone = zone
        self.id = "i-%s-%d-%08x" % (service, next(self.numbers),
                                    random.getrandbits(32))
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.slots = 64
        self.server = None
        self.heartbeat = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.host, self.mesh.app_port)
        self.heartbeat = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self):
        last = None
        while True:
            entry = self.entry()
            if entry != last:
                last = entry
                self.publish()
            self.sequence += 1
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self):
        return {"service": self.service, "zone": self.zone,
                "addr": "%s:%d" % (self.machine.host, self.mesh.app_port),
                "version": "v1", "capacity": self.slots, "state": self.state,
                "warmupLeftMs": 0, "born": self.born}

    def publish(self):
        return self.mesh.store.put(
            "servers/" + self.id,
            json.dumps({**self.entry(), "sequence": self.sequence}).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                line, headers = message
                body = await read_body(reader, headers)
                await self.handle(line, headers, body, reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, line, headers, body, reader, writer):
        attempt = header(headers, "X-Attempt-Id")
        expected = header(headers, "X-Expect-Instance")
        if line.split()[1] == "/health":
            await self.reply(writer, 200, attempt, b"", [
                ("X-Instance-Id", self.id)])
            return
        if expected and expected != self.id:
            self.mesh.record.add("misdirected", id=attempt, at=self.id)
            await self.reply(writer, 421, attempt, b"", [
                ("X-Not-Executed", "1")])
            return
        self.mesh.on_run(self, line, headers, body)
        self.running += 1
        work = asyncio.create_task(self.mesh.work(self, line, headers, body))
        # Drops the request when its connection closes.
        gone = asyncio.create_task(wait_closed(reader))
        done, _ = await asyncio.wait({work, gone},
                                     return_when=asyncio.FIRST_COMPLETED)
        self.running -= 1
        gone.cancel()
        if work not in done:
            work.cancel()
            self.mesh.on_dropped(self, attempt)
            raise ValueError("closed")
        status, answer, extra = work.result()
        self.mesh.on_answered(self, attempt, status)
        await self.reply(writer, status, attempt, answer, [
            ("X-Response-Signature", "sig." + attempt), *extra])

    async def reply(self, writer, status, attempt, body, extra):
        fields = [("X-Attempt-Id", attempt),
                  ("X-Server-Load", "%d,0,%d" % (self.running, self.slots)),
                  ("Keep-Alive", "timeout=10"), *extra]
        head = "".join("%s: %s\r\n" % item for item in fields)
        writer.write(("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n"
                      % (status, head, len(body))).encode("latin-1") + body)
        await writer.drain()


async def wait_closed(reader):
    """Returns when the peer closes; the protocol has no pipelining."""
    while not reader.at_eof():
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.01)


class Machine:
    """A node's process beside its backend server."""

    def __init__(self, mesh, number, service, zone):
        self.mesh = mesh
        self.name = "sidecar-%s-%d" % (zone, number)
        self.host = host_of(number)
        self.service = service
        self.zone = zone
        self.process = None
        self.upstream = Upstream(mesh, self, service, zone)
        self.settings_path = os.path.join(mesh.folder, self.name + ".json")

    def write_settings(self, first_start):
        mesh = self.mesh
        at = lambda port: "%s:%d" % (self.host, port)
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump({
                "id": self.name, "service": self.service,
                "failure_domain": self.zone,
                "client_address": at(mesh.client_port),
                "readiness_address": at(mesh.ready_port),
                "call_address": at(mesh.call_port),
                "metrics_address": at(mesh.metrics_port),
                "backend_address": at(mesh.app_port),
                "discovery_address": "%s:%d" % mesh.store.address,
                "first_start": first_start, "stop_grace_s": GRACE_S,
                "max_buffered_bytes": 25165824,
                "retry_ratio": 0.2, "retry_slack": 49,
                "retry_window_s": 10}, file)

    def start(self, first_start=False):
        self.write_settings(first_start)
        log = open(os.path.join(self.mesh.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [NODE, "--mesh", self.settings_path], cwd=REPOSITORY,
            stdout=log, stderr=log)
        log.close()
        self.mesh.record.add("node_started", node=self.name,
                             pid=self.process.pid)

    def signal(self, number):
        self.mesh.record.add("signal", node=self.name,
                             signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.mesh.ready_port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await read_head(reader)
            writer.close()
            return line.split()[1] == "200"
        except (OSError, TypeError):
            return False


class Mesh:
    """The deployment; a case overrides `work` and the `on_` functions."""

    def __init__(self, record):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.store = Store(host_of(250))
        (self.app_port, self.client_port, self.ready_port, self.call_port,
         self.metrics_port) = free_ports(host_of(1), 5)
        self.machines = []
        self.routes = []
        self.version = 0

    def add_machine(self, service, zone):
        machine = Machine(self, len(self.machines) + 1, service, zone)
        self.machines.append(machine)
        return machine

    def add_route(self, name, service, kind, timeout_ms=None,
                  max_attempts=2, priority=1, objective_ms=1500):
        self.routes.append([name, "%s.example" % name, "/%s/" % name, kind,
                            timeout_ms, objective_ms, priority, None,
                            max_attempts, service])

    def write_configuration(self):
        self.version += 3
        services = sorted({row[9] for row in self.routes})
        document = {
            "version": self.version,
            "routes": {"columns": [
                "name", "host", "prefix", "kind", "timeoutMs",
                "targetLatencyMs", "priority", "weightedServices",
                "maxAttempts", "service"], "rows": self.routes},
            "services": {"columns": ["name", "healthPath", "maxConnections"],
                         "rows": [[name, "/health", 400]
                                  for name in services]},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.record.add("configuration", version=self.version)
        return self.store.put("op/config", json.dumps(document).encode())

    async def start(self):
        await self.store.start()
        self.write_configuration()
        for machine in self.machines:
            await machine.upstream.start()
            machine.start(first_start=True)
        until = time.monotonic() + 20
        while time.monotonic() < until:
            ready = await asyncio.gather(
                *(machine.is_ready() for machine in self.machines))
            if all(ready):
                await asyncio.sleep(2)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the nodes are not ready")

    def stop(self):
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        self.temporary.cleanup()

    async def work(self, upstream, line, headers, body):
        await asyncio.sleep(0.05)
        return 200, b"ok", []

    def on_run(self, upstream, line, headers, body):
        self.record.add("run", id=header(headers, "X-Attempt-Id"),
                        at=upstream.id, line=line.split()[0])

    def on_answered(self, upstream, attempt, status):
        self.record.add("upstream_answered", id=attempt, status=status)

    def on_dropped(self, upstream, attempt):
        self.record.add("upstream_dropped", id=attempt, at=upstream.id)


class Answer:
    """What a client got: `status` is None if the connection ended."""

    def __init__(self, status, headers, body, why=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.why = why


class Client:
    """A client with one kept connection to a machine."""

    numbers = itertools.count(1)

    def __init__(self, mesh, machine):
        self.mesh = mesh
        self.machine = machine
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.machine.host, self.mesh.client_port)

    def new_id(self):
        return "%016x" % (next(self.numbers) << 32 | random.getrandbits(32))

    async def send(self, route, method="GET", path="x", body=b"",
                   deadline_ms=5000, extra=b"", attempt=None):
        """Sends a request and returns its id and the answer."""
        if self.writer is None:
            await self.connect()
        attempt = attempt or self.new_id()
        length = (b"Content-Length: %d\r\n" % len(body)) if body else b""
        self.mesh.record.add("sent", id=attempt, node=self.machine.name,
                             route=route, method=method)
        try:
            self.writer.write(
                ("%s /%s/%s HTTP/1.1\r\nHost: %s.example\r\n"
                 "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                 % (method, route, path, route, attempt, deadline_ms)).encode()
                + extra + length + b"\r\n" + body)
            await self.writer.drain()
            head = await read_head(self.reader)
            if head is None:
                raise OSError("closed")
            line, headers = head
            answer_body = await read_body(self.reader, headers)
            answer = Answer(int(line.split()[1]), headers, answer_body)
            if header(headers, "Connection").lower() == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            answer = Answer(None, [], b"", str(error))
            self.close()
        self.mesh.record.add(
            "answered", id=attempt, status=answer.status,
            reason=header(answer.headers, "Jujubespan-Reason", "-"))
        return attempt, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
