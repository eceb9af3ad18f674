"""A small deployment on loopback addresses with the real node program.

The platform's store, the upstreams and the clients are stand-ins. They follow
PROTOCOL.md; where it is silent, they do what a sound one does.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

import store_standin  # noqa: E402
from soak import http  # noqa: E402

PROGRAM = "target/apps/jujubespand"
HEARTBEAT_S = 1.5
LEASE_S = 3 * HEARTBEAT_S
PORTS = {"client": 8304, "readiness": 8302, "call": 7620, "metrics": 9464,
         "backend": 8301}
REQUEST_ID = store_standin.REQUEST_ID


def draw_network():
    """Returns the second octet of addresses whose ports are free."""
    import socket
    for octet in random.SystemRandom().sample(range(20, 250), 60):
        try:
            for port in [*PORTS.values(), 8309]:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET,
                                     socket.SO_REUSEADDR, 1)
                    probe.bind((f"127.{octet}.0.1", port))
            return octet
        except OSError:
            continue
    raise OSError("no free addresses")


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


class Store(store_standin.Store):
    """An entry changes when more than its sequence changes; an instance that
    is silent for three heartbeat intervals is removed."""

    def __init__(self, address, seed, record):
        super().__init__(address, seed)
        self.record = record
        self.reported = {}  # key: time of the last report

    def put_instance(self, key, document):
        self.reported[key] = time.monotonic()
        if key in self.items and self.told(self.items[key]) == {
                k: v for k, v in document.items() if k != "sequence"}:
            return
        self.put(key, document)
        self.record.add(f"store: {key} is {document['state']}, sequence "
                        f"{document['sequence']}, revision {self.revision} "
                        f"era {self.era}")

    @staticmethod
    def told(item):
        document = json.loads(base64.b64decode(item["value"]))
        document.pop("sequence", None)
        return document

    def remove_instance(self, key, why):
        if key in self.items:
            self.delete(key)
            self.reported.pop(key, None)
            self.record.add(f"store: {key} is removed ({why}), "
                            f"revision {self.revision} era {self.era}")

    async def respond(self, message):
        if self.mode == "reset":
            raise OSError("down")
        return await super().respond(message)

    def abort_all(self):
        for writer in list(self.writers):
            http.abort(writer)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            if self.mode != "up":
                continue
            limit = time.monotonic() - LEASE_S
            for key in self.instance_keys():
                if self.reported.setdefault(key, time.monotonic()) < limit:
                    self.remove_instance(key, "silent")

    def instance_keys(self):
        return [k for k in self.items if k.startswith("servers/")]

    def restore(self, age_s):
        """Returns with the content of a copy; leases start anew."""
        self.restore_copy(age_s)
        self.reported = dict.fromkeys(self.instance_keys(), time.monotonic())
        self.mode = "up"
        self.record.add(f"store: back from a copy, revision {self.revision} "
                        f"era {self.era}, holds {sorted(self.items)}")


class Upstream:
    """The backend server beside a node."""

    numbers = iter(range(1, 1000))

    def __init__(self, machine, store, record, work_s=0.1, slots=64):
        self.machine = machine
        self.store = store
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.id = f"i-{machine.service}-{next(self.numbers)}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.runs = []   # [request id, start, end or None, finished]
        self.writers = set()
        self.server = None
        self.reporting = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.machine.address("backend"), limit=1 << 20)
        self.reporting = asyncio.create_task(self.report())

    async def report(self):
        while True:
            self.report_once()
            await asyncio.sleep(HEARTBEAT_S)

    def report_once(self):
        self.sequence += 1
        document = store_standin.instance_entry(
            self.machine.service, self.machine.address("backend"),
            self.machine.zone, self.slots, self.born, self.sequence,
            self.state == "draining")
        if self.store.mode == "up" and self.machine.reaches_store():
            self.store.put_instance("servers/" + self.id, document)

    def stop_reporting(self):
        self.reporting.cancel()

    def end(self):
        """The process exits."""
        self.reporting.cancel()
        self.server.close()
        self.record.add(f"upstream {self.id}: ends with {self.running} "
                        "requests running")
        for writer in list(self.writers):
            http.abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await asyncio.wait_for(http.read_message(reader), 10)
                if message is None or not await self.handle(message, reader,
                                                            writer):
                    break
        except (OSError, http.Malformed, asyncio.TimeoutError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            http.abort(writer)

    def headers(self, request_id):
        headers = {"X-Server-Load": f"{self.running},0,{self.slots}",
                   "Keep-Alive": "timeout=10"}
        if request_id:
            headers[REQUEST_ID] = request_id
        return headers

    async def handle(self, message, reader, writer):
        request_id = message.headers.get(REQUEST_ID.lower(), "")
        headers = self.headers(request_id)
        if message.words[1] == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(http.response(
                status, {**headers, "X-Instance-Id": self.id}).encode())
            return True
        expected = message.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            writer.write(http.response(
                421, {**headers, "X-Instance-Id": self.id}).encode())
            return True
        if self.running >= self.slots:
            writer.write(http.response(
                503, {**headers, "X-Not-Executed": "1"}).encode())
            return True
        run = [request_id, time.monotonic(), None, False]
        self.runs.append(run)
        self.record.add(f"run {request_id} starts at {self.id}")
        self.running += 1
        work = asyncio.create_task(asyncio.sleep(self.work_s))
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, gone},
                               return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False
            run[3] = True
            body = f"{request_id} {self.id}".encode()
            headers["X-Response-Signature"] = signature(request_id, self.id)
            writer.write(http.response(200, headers, body).encode())
            await writer.drain()
            return True
        finally:
            run[2] = time.monotonic()
            self.record.add(f"run {request_id} ends at {self.id}, "
                            f"{'finished' if run[3] else 'broken off'}")
            self.running -= 1
            work.cancel()
            gone.cancel()


def signature(request_id, instance):
    text = f"{request_id} {instance}".encode()
    return hashlib.sha256(text).hexdigest()[:16]


class Machine:
    """A node and the addresses of its machine."""

    def __init__(self, lab, number, service, zone):
        self.lab = lab
        self.number = number
        self.service = service
        self.zone = zone
        self.name = f"sidecar-{zone}-{number}"
        self.process = None
        self.first_start = True
        self.cut_off = False

    def address(self, port):
        return (f"127.{self.lab.network}.0.{10 + self.number}", PORTS[port])

    def reaches_store(self):
        return not self.cut_off

    def store_address(self):
        return self.lab.store_address

    def start(self):
        settings = self.lab.directory / f"{self.name}.json"
        settings.write_text(json.dumps(self.settings()))
        self.first_start = False
        with open(self.lab.directory / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "--mesh", str(settings)], cwd=ROOT, stdout=log,
                stderr=subprocess.STDOUT,
                env={k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                     if k in os.environ})
        self.lab.record.add(f"node {self.name}: starts")

    def settings(self):
        """The fields of deploy/node.json."""
        def text(address):
            return "%s:%d" % address
        return {
            "id": self.name, "service": self.service,
            "failure_domain": self.zone,
            "client_address": text(self.address("client")),
            "readiness_address": text(self.address("readiness")),
            "call_address": text(self.address("call")),
            "metrics_address": text(self.address("metrics")),
            "backend_address": text(self.address("backend")),
            "discovery_address": text(self.store_address()),
            "first_start": self.first_start, "stop_grace_s": 6,
            "max_buffered_bytes": 25165824, "retry_ratio": 0.2,
            "retry_slack": 49, "retry_window_s": 10}

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.address("readiness")), 0.5)
            writer.write(http.request("GET", "/-/ready", "node").encode())
            answer = await asyncio.wait_for(http.read_message(reader), 0.5)
            http.abort(writer)
            return answer is not None and answer.status == 200
        except (OSError, http.Malformed, asyncio.TimeoutError):
            return False


class Sent:
    def __init__(self, request_id, machine, method):
        self.id = request_id
        self.machine = machine
        self.method = method
        self.at = time.monotonic()
        self.status = None
        self.ended = None
        self.note = ""


class Lab:
    def __init__(self, folder, layout, services, machine_type=Machine):
        """`layout` holds the service and the zone of each machine."""
        self.network = draw_network()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="lab-"))
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.store_address = (f"127.{self.network}.0.1", 8309)
        self.store = Store(self.store_address, 1, self.record)
        self.services = services
        self.machines = [machine_type(self, number, service, zone)
                         for number, (service, zone) in enumerate(layout)]
        self.upstreams = {}  # machine: its present upstream
        self.tasks = []
        self.sent = {}
        self.version = 7
        self.running = True

    def write_configuration(self, routes):
        columns = ["name", "host", "prefix", "kind", "timeoutMs",
                   "targetLatencyMs", "priority", "weightedServices",
                   "maxAttempts", "service"]
        self.store.put("op/config", {
            "version": self.version,
            "routes": {"columns": columns, "rows": routes},
            "services": {"columns": ["name", "healthPath", "maxConnections",
                                     "protocol", "tls"],
                         "rows": [[name, "/health", 1252, "h1", False]
                                  for name in self.services]},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.record.add(f"store: configuration {self.version}, revision "
                        f"{self.store.revision} era {self.store.era}")

    async def start(self, routes, **upstream_options):
        await self.store.start()
        self.tasks.append(asyncio.create_task(self.store.expire()))
        self.write_configuration(routes)
        self.upstream_options = upstream_options
        for machine in self.machines:
            await self.add_upstream(machine)
            machine.start()
        until = time.monotonic() + 20
        while not all([await m.is_ready() for m in self.machines]):
            if time.monotonic() > until:
                raise RuntimeError("the nodes do not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(4)

    async def add_upstream(self, machine):
        upstream = Upstream(machine, self.store, self.record,
                            **self.upstream_options)
        self.upstreams[machine] = upstream
        await upstream.start()

    def add_client(self, machine, method, host, prefix, per_second,
                   deadline_ms=5000):
        self.tasks.append(asyncio.create_task(self.client(
            machine, method, host, prefix, per_second, deadline_ms)))

    async def client(self, machine, method, host, prefix, per_second,
                     deadline_ms):
        """Sends requests one after the other over a kept connection."""
        connection = None
        while self.running:
            await asyncio.sleep(random.expovariate(per_second))
            sent = Sent(f"{random.getrandbits(64):016x}", machine, method)
            self.sent[sent.id] = sent
            connection = await self.send(sent, host, prefix, deadline_ms,
                                         connection)

    async def send(self, sent, host, prefix, deadline_ms, connection=None):
        try:
            if connection is None:
                connection = await asyncio.wait_for(
                    asyncio.open_connection(
                        *sent.machine.address("client")), 1)
            reader, writer = connection
            sent.at = time.monotonic()
            self.record.add(f"sent {sent.id} {sent.method} to "
                            f"{sent.machine.name}")
            writer.write(http.request(
                sent.method, f"{prefix}{sent.id[:4]}", host,
                {REQUEST_ID: sent.id, "X-Deadline-Ms": str(deadline_ms)},
                b"x" * 200 if sent.method == "POST" else b"").encode())
            answer = await asyncio.wait_for(http.read_message(reader),
                                            deadline_ms / 1000)
        except (OSError, http.Malformed, asyncio.TimeoutError) as error:
            answer = None
            sent.note = type(error).__name__
        sent.ended = time.monotonic()
        if answer is None:
            self.record.add(f"no answer {sent.id} {sent.note}")
            if connection is not None:
                http.abort(connection[1])
            return None
        sent.status = answer.status
        self.record.add(f"answered {sent.id} {answer.status} "
                        f"{answer.headers.get('jujubespan-reason', '')}")
        if answer.headers.get("connection", "").lower() == "close":
            http.abort(connection[1])
            return None
        return connection

    async def stop(self):
        self.running = False
        for machine in self.machines:
            machine.kill()
        for task in self.tasks:
            task.cancel()
        for upstream in self.upstreams.values():
            upstream.stop_reporting()
            upstream.server.close()
            for writer in list(upstream.writers):
                http.abort(writer)
        self.store.close()
        await asyncio.sleep(0.1)
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def run(main):
    """Runs a case; it ends its processes also when it is stopped itself."""
    async def stoppable():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await main()
        except asyncio.CancelledError:
            return 2
    return asyncio.run(stoppable())
