"""Clients of a node: heads, answers and connections."""

import asyncio
import unittest

from exhaustion.deployment import encode_request
from exhaustion.testcase import ExhaustionTestCase

MIB = 1 << 20
ENDLESS_BYTES = 8 * MIB
REQUEST_LINE = b"GET /front/1 HTTP/1.1\r\nHost: shop.example\r\n"


class LongAnswers(ExhaustionTestCase):
    READERS = 40
    ANSWER_BYTES = 8 * MIB

    async def ask_without_reading(self, path, answer_bytes=ANSWER_BYTES,
                                  count=READERS):
        """One at a time, so that each answer is within the limits."""
        for number in range(count):
            connection = await self.crowd.connect(self.node.address("client"))
            await self.crowd.send(connection, encode_request(
                f"{path}{answer_bytes}", f"reader-{number}"))
            await self.crowd.wait_for_first_byte(connection)

    async def test_answers_that_are_not_read(self):
        """Unsent bytes of answers are not limited."""
        await self.deploy(max_buffered_bytes=16 * MIB)
        await self.ask_without_reading("/front/")
        await self.check_nodes()

    async def test_answers_from_another_node_that_are_not_read(self):
        """Unsent bytes of answers that another node sent are not limited."""
        await self.deploy(services=("front", "middle"),
                          max_buffered_bytes=16 * MIB)
        await self.ask_without_reading("/middle/")
        await self.check_nodes()

    async def test_pipelined_requests_whose_answers_are_not_read(self):
        """A connection goes on with requests while its answers are unread."""
        await self.deploy(max_buffered_bytes=16 * MIB)

        async def send_requests(number):
            connection = await self.crowd.connect(self.node.address("client"))
            for request in range(64):
                await self.crowd.send(connection, encode_request(
                    f"/front/{MIB}", f"pipelined-{number}-{request}"), 1.0)
        await asyncio.gather(*[send_requests(number) for number in range(8)])
        await asyncio.sleep(3)  # Until the node has answered what it reads.
        await self.check_nodes()


    async def test_one_connection_whose_answers_are_not_read(self):
        """One client alone exceeds the memory for all of them."""
        await self.deploy(max_buffered_bytes=16 * MIB)
        connection = await self.crowd.connect(self.node.address("client"))
        for request in range(40):
            await self.crowd.send(connection, encode_request(
                f"/front/{8 * MIB}", f"pipelined-{request}"), 1.0)
        await asyncio.sleep(3)  # Until the node has answered what it reads.
        await self.check_nodes()


class Heads(ExhaustionTestCase):
    CLIENTS = 40

    async def press(self, start, block):
        await self.deploy(max_buffered_bytes=16 * MIB)
        for face in ("client", "readiness", "metrics"):
            with self.subTest(face=face):
                await asyncio.gather(*[
                    self.crowd.send_endlessly(self.node.address(face), start,
                                              block, ENDLESS_BYTES)
                    for _ in range(self.CLIENTS)])
                self.check_resources()
        await self.check_nodes()

    async def test_header_fields_without_end(self):
        """The head of a request never ends."""
        await self.press(REQUEST_LINE, b"Field: " + b"v" * 50 + b"\r\n")

    async def test_one_header_field_without_end(self):
        """A single field of a request never ends."""
        await self.press(REQUEST_LINE + b"Field: ", b"v" * 64)

    async def test_request_line_without_end(self):
        """The target of a request never ends."""
        await self.press(b"GET /", b"a" * 64)

    async def test_empty_lines_without_end(self):
        """Empty lines before a request never end."""
        await self.press(b"", b"\r\n")

    async def test_chunk_sizes_without_end(self):
        """The size line of a chunk never ends."""
        await self.press(REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n",
                         b"0" * 64)

    async def test_trailers_without_end(self):
        """The trailers of a chunked request never end."""
        await self.press(
            REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
            b"Field: " + b"v" * 50 + b"\r\n")

    async def test_heads_over_the_limit(self):
        """Complete heads that are larger than allowed."""
        head = (REQUEST_LINE + b"Field: " + b"v" * 20_000 + b"\r\n\r\n")
        await self.press(b"", head)

    async def test_heads_of_many_short_fields(self):
        """Parsed fields take many times their size on the wire.

        The backend server holds all requests, so that the node does.
        """
        await self.deploy(max_connections=1400, max_buffered_bytes=16 * MIB,
                          slots=1000)
        released = asyncio.Event()

        async def hold(message, writer):
            if not message.words[1].startswith("/front/held/"):
                return await self.backend.answer_with_size(message, writer)
            await released.wait()
            return False
        self.backend.answer = hold
        fields = b"a:\r\n" * 4000
        for number in range(600):
            connection = await self.crowd.connect(self.node.address("client"))
            request = encode_request("/front/held/1", f"held-{number}")
            await self.crowd.send(connection,
                                  request[:-2] + fields + b"\r\n")
        await asyncio.sleep(2)
        try:
            await self.check_nodes()
        finally:
            released.set()


    async def test_heads_of_many_short_fields_that_stall(self):
        """Parsed fields are held until the head is complete."""
        await self.deploy(max_connections=1400, max_buffered_bytes=16 * MIB)
        for face in ("client", "readiness", "metrics"):
            for _ in range(600):
                connection = await self.crowd.connect(self.node.address(face))
                await self.crowd.send(connection,
                                      REQUEST_LINE + b"a:\r\n" * 3900)
        await asyncio.sleep(1)
        await self.check_nodes()

    async def test_heads_of_many_short_fields_before_a_body_that_stalls(self):
        """Parsed fields are held until the body is complete."""
        await self.deploy(max_connections=1400, max_buffered_bytes=16 * MIB)
        head = encode_request("/front/1", "stalled", {"Content-Length": "9"})
        head = head.replace(b"Content-Length: 0\r\n", b"")
        for _ in range(600):
            connection = await self.crowd.connect(self.node.address("client"))
            await self.crowd.send(
                connection, head[:-2] + b"a:\r\n" * 4000 + b"\r\nbody")
        await asyncio.sleep(1)
        await self.check_nodes()


class Bodies(ExhaustionTestCase):
    async def test_uploads_that_stall(self):
        """Clients that stall take the memory for requests from all others."""
        await self.deploy(max_buffered_bytes=8 * MIB)
        head = encode_request("/front/1", "stalled", method="POST",
                              body=b"x" * (MIB - 1))
        for _ in range(40):
            connection = await self.crowd.connect(self.node.address("client"))
            await self.crowd.send(connection, head[:MIB // 2])
        await asyncio.sleep(1)
        await self.check_nodes()


    async def test_heads_that_stall(self):
        """Clients that stall within small heads keep all others out."""
        await self.deploy(max_buffered_bytes=MIB)
        for size in (15_000, 4000, 1000, 200):
            for _ in range(80):
                connection = await self.crowd.connect(
                    self.node.address("client"))
                await self.crowd.send(
                    connection, REQUEST_LINE + b"Field: " + b"v" * size)
        await asyncio.sleep(1)
        await self.check_nodes()


class Connections(ExhaustionTestCase):
    LIMIT = 16
    CLIENTS = 300

    async def hold_connections(self, face, count=CLIENTS):
        for _ in range(count):
            await self.crowd.connect(self.node.address(face))
        await asyncio.sleep(0.5)

    async def test_more_connections_than_allowed(self):
        """Connections that are refused stay open beyond the limit."""
        await self.deploy(max_connections=self.LIMIT)
        await self.hold_connections("client")
        await self.check_nodes()

    async def test_more_connections_than_allowed_to_readiness(self):
        """Readiness connections that are refused stay open."""
        await self.deploy(max_connections=self.LIMIT)
        await self.hold_connections("readiness")
        await self.check_nodes()

    async def test_more_connections_than_allowed_to_metrics(self):
        """Metrics connections are not bounded by the settings."""
        await self.deploy(max_connections=self.LIMIT)
        await self.hold_connections("metrics")
        await self.check_nodes()

    async def test_idle_connections_up_to_the_limit(self):
        """Idle clients keep all others out."""
        await self.deploy(max_connections=self.LIMIT)
        await self.hold_connections("client", self.LIMIT)
        await self.check_nodes()

    async def test_descriptors_run_out(self):
        """A listener that once found no descriptor accepts nothing more."""
        await self.deploy(descriptor_limit=96)
        await self.hold_connections("client", 150)
        self.crowd.close()
        await asyncio.sleep(0.5)
        await self.check_nodes()


if __name__ == "__main__":
    unittest.main()
