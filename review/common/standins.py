"""Stand-ins for the platform, the servers and the clients of a small mesh.

The nodes are the project's own processes, started with the command of
deploy/system.toml and the settings template deploy/node.json. Everything runs
on loopback addresses. The stand-ins do only what PROTOCOL.md describes.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
CLIENT_PORT, READY_PORT, CALL_PORT, APP_PORT, STORE_PORT = (
    8304, 8302, 7620, 8301, 8309)
HEARTBEAT_S = 1.5
CONTACT_S = 3.0
GRACE_S = 6.0
# Bounds of the site files with 13 to 17 machines, as the platform passes them.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
          "syncS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
          "convergeMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
          "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 49,
          "recoverS": 15}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeoutMs",
                 "targetLatencyMs", "priority", "weightedServices",
                 "maxAttempts", "service"]


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt of a case: one line for each event."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


# --- HTTP/1.1 ---------------------------------------------------------------

class Message:
    def __init__(self, line, headers, body):
        self.line, self.headers, self.body = line, headers, body
        self.words = line.split(" ", 2)

    @property
    def status(self):
        return int(self.words[1])


async def read_head(reader):
    """Returns start line and headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("ended within a header") from error
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(line, headers, body)


def encode(line, headers, body=b""):
    text = [line] + [f"{name}: {value}" for name, value in headers.items()]
    text.append(f"Content-Length: {len(body)}")
    return "\r\n".join(text).encode("latin-1") + b"\r\n\r\n" + body


def response(status, headers=None, body=b""):
    return encode(f"HTTP/1.1 {status} Answer", headers or {}, body)


# --- The platform's store ---------------------------------------------------

class Store:
    """The metadata store, which serves all nodes all the time."""

    def __init__(self, host):
        self.address = (host, STORE_PORT)
        self.items, self.events, self.revision = {}, [], 1
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def write(self, key, value):
        """Writes the bytes of an item; its revision is the confirmation."""
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "rev": self.revision, "lease": 0,
                "created": old["created"] if old else self.revision,
                "value": base64.b64encode(value).decode()}
        self.items[key] = item
        self.publish(item)

    def put(self, key, document):
        self.write(key, json.dumps(document).encode())

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.publish({"key": key, "rev": self.revision,
                          "tombstoned": True})

    def publish(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                parts = urlsplit(message.words[1])
                query = {k: v[0] for k, v in parse_qs(
                    parts.query, keep_blank_values=True).items()}
                status, body = await self.answer(parts.path, query)
                writer.write(response(status, {
                    "Content-Type": "application/json"},
                    json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query):
        prefix = query.get("prefix", "")
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix)
                          and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "hasMore": len(keys) > 500, "asOf": self.revision}
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "asOf": self.revision}) if item else (
                404, {"asOf": self.revision})
        if path != "/-/kv-watch":
            return 404, {}
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [e for e in self.events
                      if e["rev"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def route(name, host, prefix, service, kind="idempotent", timeout_ms=None,
          objective_ms=1500, priority=1, attempts=2):
    return [name, host, prefix, kind, timeout_ms, objective_ms, priority, None,
            attempts, service]


def configuration(version, routes, services):
    return {"version": version,
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {
                "columns": ["name", "healthPath", "maxConnections",
                            "protocol", "tls"],
                "rows": [[name, "/health", 1252, "h1", False]
                         for name in services]},
            "limits": LIMITS}


# --- Servers ----------------------------------------------------------------

class Server:
    """An upstream: registers itself, runs requests and answers them."""

    read_ahead = 1 << 16  # bytes that the server reads before it needs them
    receive_buffer = 0    # of the kernel for each connection; 0: its default

    def __init__(self, mesh, machine, instance, work_s=0.3, slots=64):
        self.mesh, self.machine, self.instance = mesh, machine, instance
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.writers, self.beats = set(), None

    def entry(self):
        return {"service": self.machine.service,
                "addr": f"{self.machine.ip}:{APP_PORT}",
                "zone": self.machine.zone, "version": "v1",
                "capacity": self.slots, "state": self.state,
                "warmupLeftMs": 0, "sequence": self.sequence,
                "born": self.born}

    def publish(self):
        self.sequence += 1
        self.mesh.store.put("servers/" + self.instance, self.entry())

    async def start(self):
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                 self.receive_buffer)
        listening.bind((self.machine.ip, APP_PORT))
        self.listener = await asyncio.start_server(
            self.serve, sock=listening, limit=self.read_ahead, backlog=256)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def stop(self):
        """Ends the process: its connections are closed."""
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                if not await self.handle(head, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_bytes(self, status, headers, body):
        return response(status, headers, body)

    async def read_body(self, headers, reader):
        return await reader.readexactly(int(headers.get("content-length", 0)))

    async def handle(self, head, reader, writer):
        line, headers = head
        request_id = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": request_id}
        if headers.get("x-expect-instance", self.instance) != self.instance:
            await self.read_body(headers, reader)
            self.mesh.record(f"{self.instance} misdirected {request_id}")
            writer.write(response(421, {**echo,
                                        "X-Instance-Id": self.instance}))
            return True
        self.mesh.record(f"{self.instance} runs {request_id} {line}")
        run = self.mesh.begin_run(request_id, self)
        gone = None
        try:
            body = await self.read_body(headers, reader)
            run["received"] = len(body)
            gone = asyncio.create_task(reader.read(1))
            work = asyncio.create_task(asyncio.sleep(self.work_s))
            await asyncio.wait({work, gone},
                               return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                raise ConnectionError("the node closed the connection")
            answer = f"{request_id} {self.instance}".encode()
            writer.write(self.answer_bytes(200, {
                **echo, "X-Response-Signature": f"{self.instance}.{request_id}"
            }, answer))
            await writer.drain()
            run["ended"] = "answered"
            self.mesh.record(f"{self.instance} answered {request_id}")
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            run["ended"] = "cut"
            self.mesh.record(f"{self.instance} cut {request_id}")
            raise
        finally:
            run["until"] = time.monotonic()
            if gone is not None and not gone.done():
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
        return True


# --- Machines with the project's node ---------------------------------------

def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, fields):
    """Fills in the placeholders and sections that deploy/node.json uses."""
    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) else ""

    def value(match):
        found = lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Machine:
    """A sidecar machine: the place of a server, and the node beside it."""

    def __init__(self, mesh, number, ip, zone, service):
        self.mesh, self.number, self.ip = mesh, number, ip
        self.zone, self.service = zone, service
        self.name = f"sidecar-{zone}-{number}"
        self.process, self.bootstrap = None, True
        self.wanted = False      # the process is meant to run
        self.exits = []          # (time, code) of ends by itself
        self.disturbed_at = []   # times of signals and planned starts
        self.directory = mesh.directory / self.name
        self.directory.mkdir()
        self.settings = self.directory / "node.conf"

    def write_settings(self):
        fields = {
            "nodeName": self.name, "service": self.service, "zone": self.zone,
            "ip": self.ip, "bootstrap": self.bootstrap,
            "listenAddrs": {"outbound": f"{self.ip}:{CLIENT_PORT}",
                            "readiness": f"{self.ip}:{READY_PORT}"},
            "portRange": [CALL_PORT, CALL_PORT + 15],
            "appAddr": f"{self.ip}:{APP_PORT}", "bounds": BOUNDS,
            "platform": {"addr": "%s:%d" % self.mesh.store.address}}
        template = (ROOT / "deploy" / "node.json").read_text()
        self.settings.write_text(render(template, fields))

    def start(self):
        if self.mesh.closed:  # a restart that was due after the case's end
            return
        self.write_settings()
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            run = tomllib.load(file)["roles"]["node"]["run"].split(" ")
        command = [str(ROOT / run[0])] + [
            str(self.settings) if word == "/etc/jujubespan/node.conf" else word
            for word in run[1:]]
        if not os.access(command[0], os.X_OK):
            raise CannotRun(f"{command[0]} is not built")
        with open(self.directory / "node.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": str(self.directory),
                     "JUJUBESPAN_BOOT": str(self.settings)})
        self.wanted, self.bootstrap = True, False
        self.mesh.record(f"{self.name} started")

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.disturbed_at.append(time.monotonic())
        self.mesh.record(f"{self.name} gets {signal.Signals(number).name}")
        if self.is_alive():
            self.process.send_signal(number)

    def kill(self):
        self.wanted = False
        if self.process is not None:
            if self.is_alive():
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class Mesh:
    """A deployment of machines, servers and the store on loopback."""

    def __init__(self, folder):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder)
        self.network = self.find_network()
        self.store = Store(f"127.{self.network}.0.1")
        self.machines, self.servers, self.tasks = [], [], []
        self.closed = False
        self.runs = {}      # request id: list of runs
        self.sent = []      # requests of clients

    @staticmethod
    def find_network():
        """Returns the second octet of addresses whose ports are free."""
        for offset in range(200):
            octet = 20 + (os.getpid() + offset) % 200
            free = True
            for host in (f"127.{octet}.0.1", f"127.{octet}.1.1"):
                for port in (STORE_PORT, CLIENT_PORT, APP_PORT, CALL_PORT):
                    with socket.socket() as probe:
                        try:
                            probe.bind((host, port))
                        except OSError:
                            free = False
            if free:
                return octet
        raise CannotRun("no free loopback network")

    def add_machine(self, zone, service):
        number = len(self.machines) + 1
        machine = Machine(self, number, f"127.{self.network}.1.{number}", zone,
                          service)
        self.machines.append(machine)
        return machine

    def add_server(self, machine, kind=Server, **options):
        server = kind(self, machine, f"i-{machine.service}-{machine.number}",
                      **options)
        self.servers.append(server)
        return server

    def begin_run(self, request_id, server):
        run = {"server": server, "at": time.monotonic(), "until": None,
               "ended": "", "received": 0}
        self.runs.setdefault(request_id, []).append(run)
        return run

    async def start(self, document):
        await self.store.start()
        self.store.put("op/config", document)
        for server in self.servers:
            await server.start()
        for machine in self.machines:
            machine.start()
        until = time.monotonic() + 15
        while not all([await self.is_ready(m) for m in self.machines]):
            if time.monotonic() > until:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)
        self.tasks.append(asyncio.create_task(self.restart_ended()))

    async def is_ready(self, machine):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(machine.ip, READY_PORT), 0.5)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(encode("GET /-/ready HTTP/1.1", {"Host": "node"}))
            answer = await asyncio.wait_for(read_message(reader), 0.5)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ConnectionError):
            return False
        finally:
            writer.close()

    async def restart_ended(self):
        """Starts a process that has ended by itself again after 0.3 s."""
        while True:
            for machine in self.machines:
                if machine.wanted and not machine.is_alive():
                    code = machine.process.returncode
                    machine.exits.append((time.monotonic(), code))
                    self.record(f"{machine.name} ended by itself, code {code}")
                    machine.wanted = False
                    asyncio.get_running_loop().call_later(0.3, machine.start)
            await asyncio.sleep(0.02)

    def close(self):
        self.closed = True
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.kill()
        if os.environ.get("KEEP"):
            print("logs in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


# --- Clients ----------------------------------------------------------------

class Request:
    counter = 0

    def __init__(self, machine, kept):
        Request.counter += 1
        self.id = f"{os.getpid():x}-{Request.counter:06x}"
        self.machine, self.kept = machine, kept
        self.at = self.ended = time.monotonic()
        self.status, self.outcome, self.reason = 0, "", ""


class Client:
    """Sends one request after the other and keeps its connection."""

    def __init__(self, mesh, machine, method, host, path, body=b"",
                 budget_ms=5000, pause_s=0.05):
        self.mesh, self.machine = mesh, machine
        self.method, self.host, self.path = method, host, path
        self.body, self.budget_ms, self.pause_s = body, budget_ms, pause_s
        self.running, self.connection = True, None

    async def run(self, delay_s=0.0):
        await asyncio.sleep(delay_s)
        while self.running:
            request = await self.send()
            wait = 0.2 if request.status != 200 else 0
            await asyncio.sleep(self.pause_s + wait)

    async def send(self):
        request = Request(self.machine, self.connection is not None)
        self.mesh.sent.append(request)
        try:
            if self.connection is None:
                self.connection = await asyncio.wait_for(
                    asyncio.open_connection(self.machine.ip, CLIENT_PORT), 1)
            reader, writer = self.connection
            request.at = time.monotonic()
            request.outcome = "closed"
            writer.write(encode(
                f"{self.method} {self.path} HTTP/1.1",
                {"Host": self.host, "X-Attempt-Id": request.id,
                 "X-Deadline-Ms": str(self.budget_ms)}, self.body))
            await writer.drain()
            self.mesh.record(f"client at {self.machine.name} sent {request.id} "
                             f"{self.method} {self.path} kept={request.kept}")
            answer = await asyncio.wait_for(read_message(reader),
                                            self.budget_ms / 1000)
            if answer is None:
                self.drop()
            else:
                request.outcome, request.status = "answered", answer.status
                request.reason = answer.headers.get("jujubespan-reason", "")
                if answer.headers.get("connection", "").lower() == "close":
                    self.drop()
        except asyncio.TimeoutError:
            request.outcome = ("gave-up" if request.outcome == "closed"
                               else "unsent")
            self.drop()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            request.outcome = request.outcome or "unsent"
            self.drop()
        request.ended = time.monotonic()
        self.mesh.record(f"client at {self.machine.name} got {request.id} "
                         f"{request.outcome} {request.status} "
                         f"{request.reason}")
        return request

    def drop(self):
        if self.connection is not None:
            self.connection[1].transport.abort()
            self.connection = None


def run_case(case, folder):
    """Runs a case with all its processes; exits with its verdict.

    `case` is a coroutine function that takes the mesh and returns a list of
    violations.
    """
    async def body():
        mesh = Mesh(folder)
        try:
            found = await asyncio.wait_for(case(mesh), 110)
        finally:
            mesh.close()
        for line in found[:20]:
            mesh.record.say(line)
        mesh.record.say("rule broken" if found else "rule held")
        return 1 if found else 0

    def terminate(*_):
        raise KeyboardInterrupt
    signal.signal(signal.SIGTERM, terminate)
    try:
        code = asyncio.run(body())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    except KeyboardInterrupt:
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    # Without the finalizers of connections whose event loop is closed.
    os._exit(code)
