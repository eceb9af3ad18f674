"""Node processes with lowered limits between stand-ins on loopback."""

import asyncio
import json
import os
import pathlib
import resource
import shutil
import signal
import subprocess
import tempfile

import store_standin as platform_store
from soak import ROOT, http, plan

PROGRAM = pathlib.Path(os.environ.get(
    "NODE", ROOT / "build" / "apps" / "jujubespand"))
# Memory of the smallest machine that the nodes are specified for.
MEMORY_LIMIT_BYTES = 160 << 20
# Descriptors of a node that are not connections of the crowd: libraries, files,
# connections to other nodes, to the backend server and to the store.
OWN_DESCRIPTORS = 128
STARTUP_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 30.0
SAMPLE_INTERVAL_S = 0.01
FIRST_NETWORK = 100  # second octet of the loopback addresses
NETWORK_COUNT = 100
HOST = "shop.example"


def network_octet():
    return FIRST_NETWORK + os.getpid() % NETWORK_COUNT


def read_peak_memory(process):
    """Returns the peak of a process's resident memory in bytes."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in status.splitlines()
                if line.startswith("VmHWM:"))
    return int(line.split()[1]) << 10


class Backend:
    """Backend server whose answers the test chooses.

    `answer` is a coroutine function of a request and a stream writer. It sends
    the answer and returns whether the connection can be used again.
    """

    def __init__(self, address):
        self.address = address
        self.instance = "i-" + address[0]
        self.answer = self.answer_with_size
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            http.abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await http.read_message(reader):
                if not await self.answer(message, writer):
                    break
        except (OSError, http.Malformed, asyncio.CancelledError):
            pass  # The node closed the connection, or the test has ended.
        finally:
            self.writers.discard(writer)
            http.abort(writer)

    def headers_for(self, message):
        request_id = message.headers.get(platform_store.REQUEST_ID.lower(), "")
        return {platform_store.REQUEST_ID: request_id,
                platform_store.SIGNATURE: "signature"}

    async def answer_with_size(self, message, writer):
        """Sends as many bytes as the last part of the request's path says."""
        size = int(message.words[1].rpartition("/")[2])
        writer.write(http.response(200, self.headers_for(message),
                                   b"x" * size).encode())
        await writer.drain()
        return True


class Node:
    """A node process. Records the peak of its open descriptors."""

    def __init__(self, config, directory, settings, descriptor_limit):
        self.config = config
        self.directory = directory
        self.settings = settings
        self.descriptor_limit = descriptor_limit
        self.process = None
        self.peak_descriptors = 0

    def address(self, port_name):
        return self.config.listen_address(port_name)

    def start(self):
        def to_text(port_name):
            return "%s:%d" % self.address(port_name)
        file = self.directory / f"{self.config.name}.json"
        file.write_text(json.dumps({
            "id": self.config.name, "service": self.config.service,
            "failure_domain": self.config.domain,
            "client_address": to_text("client"),
            "readiness_address": to_text("readiness"),
            "call_address": to_text("call"),
            "metrics_address": to_text("metrics"),
            "backend_address": to_text("backend"),
            "discovery_address": "%s:%d" % plan.store_address(
                self.config.network_octet),
            "first_start": True, **self.settings}))
        with open(self.directory / f"{self.config.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [str(PROGRAM), "--mesh", str(file)], stdout=log,
                stderr=subprocess.STDOUT, preexec_fn=self.limit_descriptors)

    def limit_descriptors(self):
        if self.descriptor_limit is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE,
                               (self.descriptor_limit, self.descriptor_limit))

    def is_alive(self):
        return self.process.poll() is None

    def sample_descriptors(self):
        try:
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:  # The process has ended.
            return
        self.peak_descriptors = max(self.peak_descriptors, count)

    def peak_memory(self):
        return read_peak_memory(self.process)

    def send_signal(self, number):
        if self.is_alive():
            self.process.send_signal(number)

    async def terminate(self):
        """Returns the exit code, or None if the node did not exit."""
        self.send_signal(signal.SIGTERM)
        for _ in range(int(EXIT_TIMEOUT_S / SAMPLE_INTERVAL_S)):
            if not self.is_alive():
                return self.process.returncode
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        self.kill()
        return None

    def kill(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.process.wait()


class Deployment:
    """A store and one node with its backend server for each service."""

    def __init__(self, services=("front",), settings=None, slots=64,
                 descriptor_limit=None):
        octet = network_octet()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="exhaustion-"))
        self.slots = slots
        self.store = platform_store.Store(plan.store_address(octet), 1)
        configs = [plan.InstanceConfig(octet, number + 1, service, "z1")
                   for number, service in enumerate(services)]
        self.nodes = [Node(config, self.directory, settings or {},
                           descriptor_limit) for config in configs]
        self.backends = [Backend(config.listen_address("backend"))
                         for config in configs]
        self.sampler = None

    async def start(self):
        routes = [plan.Route(node.config.service, HOST,
                             f"/{node.config.service}/", True,
                             {node.config.service: 1}, timeout_ms=0)
                  for node in self.nodes]
        services = [node.config.service for node in self.nodes]
        await self.store.start()
        self.store.put(platform_store.CONFIGURATION_KEY,
                       platform_store.configuration(1, routes, services))
        for node, backend in zip(self.nodes, self.backends):
            await backend.start()
            self.store.put(
                platform_store.INSTANCE_PREFIX + backend.instance,
                platform_store.instance_entry(
                    node.config.service, backend.address, node.config.domain,
                    self.slots, 1, 1))
            node.start()
        self.sampler = asyncio.create_task(self.sample())
        for node in self.nodes:
            await self.wait_until_ready(node)

    async def wait_until_ready(self, node):
        for _ in range(int(STARTUP_TIMEOUT_S / 0.1)):
            response = await exchange(node.address("readiness"),
                                      b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            if response is not None and response.status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{node.config.name} does not get ready")

    async def sample(self):
        while True:
            for node in self.nodes:
                node.sample_descriptors()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def stop(self, keep_logs):
        self.sampler.cancel()
        for node in self.nodes:
            node.kill()
        for backend in self.backends:
            backend.stop()
        self.store.close()
        if not keep_logs:
            shutil.rmtree(self.directory)


async def exchange(address, request, timeout_s=10.0):
    """Sends a request over a new connection.

    Returns the response, or None if there is none.
    """
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), timeout_s)
        writer.write(request)
        return await asyncio.wait_for(http.read_message(reader), timeout_s)
    except (OSError, http.Malformed, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            http.abort(writer)


def encode_request(path, request_id, headers=None, body=b"", method="GET"):
    return http.request(method, path, HOST,
                        {platform_store.REQUEST_ID: request_id,
                         platform_store.DEADLINE_MS: "30000",
                         **(headers or {})}, body).encode()
