"""Clients of the metrics, readiness and operators' addresses."""

import asyncio
import json
import pathlib
import shutil
import subprocess
import tempfile
import unittest

from exhaustion.crowd import Crowd
from exhaustion.deployment import (MEMORY_LIMIT_BYTES, OWN_DESCRIPTORS,
                                   PROGRAM, STARTUP_TIMEOUT_S, exchange,
                                   network_octet, read_peak_memory)
from exhaustion.testcase import ExhaustionTestCase

MIB = 1 << 20


class Metrics(ExhaustionTestCase):
    async def test_pipelined_requests_whose_answers_are_not_read(self):
        """Reports that nobody reads are not limited."""
        await self.deploy(max_buffered_bytes=16 * MIB)
        requests = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 2000

        async def send_requests():
            connection = await self.crowd.connect(self.node.address("metrics"))
            await self.crowd.send(connection, requests, 30.0)
        await asyncio.gather(*[send_requests() for _ in range(20)])
        await asyncio.sleep(3)
        await self.check_nodes()


class Readiness(ExhaustionTestCase):
    async def test_pipelined_requests_whose_answers_are_not_read(self):
        """Answers of readiness checks that nobody reads are not limited."""
        await self.deploy(max_buffered_bytes=16 * MIB)
        requests = b"GET / HTTP/1.1\r\n\r\n" * 20_000

        async def send_requests():
            connection = await self.crowd.connect(
                self.node.address("readiness"))
            await self.crowd.send(connection, requests, 10.0)
        await asyncio.gather(*[send_requests() for _ in range(20)])
        await asyncio.sleep(3)
        await self.check_nodes()


class ContractNode(unittest.IsolatedAsyncioTestCase):
    """The operators' address of a node that enforces contracts."""

    MAX_CONNECTIONS = 16

    async def asyncSetUp(self):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="exhaustion-"))
        host = f"127.{network_octet()}.3.1"
        faces = ("caller", "outbound", "call", "control", "operators",
                 "backend", "platform")
        self.address = (host, 7000 + faces.index("operators"))
        file = self.directory / "node.json"
        file.write_text(json.dumps({
            "id": "node-1", "service": "front", "failure_domain": "z1",
            "failure_domains": ["z1"], "slots": 16,
            "max_connections": self.MAX_CONNECTIONS,
            **{f"{face}_address": f"{host}:{7000 + number}"
               for number, face in enumerate(faces)}}))
        with open(self.directory / "node.log", "ab") as log:
            self.process = subprocess.Popen([str(PROGRAM), str(file)],
                                            stdout=log, stderr=log)
        self.crowd = Crowd()
        self.addAsyncCleanup(self.clean_up)
        for _ in range(int(STARTUP_TIMEOUT_S / 0.1)):
            if await self.read_metrics() is not None:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the node does not get ready")

    async def clean_up(self):
        self.crowd.close()
        self.process.kill()
        self.process.wait()
        shutil.rmtree(self.directory)

    def read_metrics(self):
        return exchange(self.address,
                        b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")

    async def check_node(self):
        self.assertIsNone(self.process.poll(), "the node has ended")
        self.assertLessEqual(read_peak_memory(self.process),
                             MEMORY_LIMIT_BYTES)
        self.crowd.close()
        response = await self.read_metrics()
        self.assertIsNotNone(response, "an ordinary request got no answer")
        self.assertEqual(response.status, 200)

    async def test_long_bodies(self):
        """Bodies are held whole, whatever their size."""
        head = (b"POST /metrics HTTP/1.1\r\nHost: a\r\n"
                b"Content-Length: %d\r\n\r\n" % (64 * MIB))
        await asyncio.gather(*[
            self.crowd.send_endlessly(self.address, head, b"x" * 64, 60 * MIB)
            for _ in range(4)])
        await self.check_node()

    async def test_heads_without_end(self):
        """The head of a request never ends."""
        await asyncio.gather(*[
            self.crowd.send_endlessly(
                self.address, b"GET /metrics HTTP/1.1\r\n",
                b"Field: " + b"v" * 50 + b"\r\n", 30 * MIB)
            for _ in range(8)])
        await self.check_node()

    async def test_empty_lines_without_end(self):
        """Empty lines before a request never end."""
        await asyncio.gather(*[
            self.crowd.send_endlessly(self.address, b"", b"\r\n", 30 * MIB)
            for _ in range(8)])
        await self.check_node()

    async def test_pipelined_requests_whose_answers_are_not_read(self):
        """Reports that nobody reads are not limited."""
        requests = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 2000
        for _ in range(20):
            connection = await self.crowd.connect(self.address)
            await self.crowd.send(connection, requests)
        await asyncio.sleep(3)
        await self.check_node()

    async def test_more_connections_than_allowed(self):
        """Connections to the operators' address are not limited."""
        for _ in range(300):
            await self.crowd.connect(self.address)
        await asyncio.sleep(0.5)
        count = len(list(
            pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))
        self.assertLessEqual(count, self.MAX_CONNECTIONS + OWN_DESCRIPTORS)
        await self.check_node()


if __name__ == "__main__":
    unittest.main()
