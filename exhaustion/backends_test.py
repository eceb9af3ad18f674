"""Backend servers whose answers are larger than allowed or never end."""

import asyncio
import unittest

import store_standin as platform_store
from exhaustion.deployment import encode_request, exchange
from exhaustion.testcase import ExhaustionTestCase

MIB = 1 << 20
REQUESTS = 40
ENDLESS_BYTES = 8 * MIB
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


class Answers(ExhaustionTestCase):
    async def press(self, start, block, total_bytes=ENDLESS_BYTES):
        await self.deploy(max_buffered_bytes=16 * MIB)

        async def answer(message, writer):
            if message.words[1] != "/front/pressed":
                return await self.backend.answer_with_size(message, writer)
            writer.write(start)
            data = block * ((64 << 10) // len(block))
            for _ in range(total_bytes // len(data)):
                writer.write(data)
                await writer.drain()
            return False
        self.backend.answer = answer
        await asyncio.gather(*[
            exchange(self.node.address("client"),
                     encode_request("/front/pressed", f"pressed-{number}"))
            for number in range(REQUESTS)])
        await self.check_nodes()

    async def test_header_fields_without_end(self):
        """The head of an answer never ends."""
        await self.press(STATUS_LINE, b"Field: " + b"v" * 50 + b"\r\n")

    async def test_one_header_field_without_end(self):
        """A single field of an answer never ends."""
        await self.press(STATUS_LINE + b"Field: ", b"v" * 64)

    async def test_empty_lines_without_end(self):
        """Empty lines before an answer never end."""
        await self.press(b"", b"\r\n")

    async def test_interim_answers_without_end(self):
        """Interim answers never end."""
        await self.press(b"", b"HTTP/1.1 100 Continue\r\n\r\n")

    async def test_trailers_without_end(self):
        """The trailers of an answer never end."""
        await self.press(
            STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
            b"Field: " + b"v" * 50 + b"\r\n")

    async def test_heads_of_many_short_fields(self):
        """Parsed fields take many times their size on the wire."""
        await self.press(STATUS_LINE, b"a:\r\n", 62 << 10)

    async def test_bodies_without_end(self):
        """Bodies that end with their connection never end."""
        await self.press(STATUS_LINE + b"\r\n", b"x" * 64, 64 * MIB)


    async def test_bytes_without_lines_that_never_end(self):
        """An answer is no HTTP, and has no line ends."""
        await self.press(b"", bytes(range(128, 256)))

    async def test_status_line_without_end(self):
        """The reason of an answer never ends."""
        await self.press(b"HTTP/1.1 200 ", b"r" * 64)

    async def test_chunk_size_without_end(self):
        """The size line of a chunk of an answer never ends."""
        await self.press(
            STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 64)

    async def test_chunk_extensions_without_end(self):
        """The extensions of a chunk of an answer never end."""
        await self.press(
            STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n1;",
            b"a=b;" * 16)

    async def test_small_chunks_without_end(self):
        """The chunks of an answer never end."""
        await self.press(
            STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n", 64 * MIB)

    async def test_announced_length_without_end(self):
        """A body has an announced length that no machine can hold."""
        await self.press(
            STATUS_LINE + b"Content-Length: 9000000000000000000\r\n\r\n",
            b"x" * 64, 64 * MIB)

    async def test_bytes_after_an_answer_without_end(self):
        """Bytes that belong to no answer follow a complete one."""
        await self.press(STATUS_LINE + b"Content-Length: 0\r\n\r\n",
                         b"x" * 64, 64 * MIB)

    async def test_body_of_an_answer_without_one_never_ends(self):
        """Bytes follow an answer that has no body."""
        await self.press(b"HTTP/1.1 204 No Content\r\n\r\n", b"x" * 64,
                         64 * MIB)

    async def test_answers_to_other_requests_without_end(self):
        """Answers that belong to earlier requests never end."""
        await self.press(b"", STATUS_LINE + b"Content-Length: 1\r\n"
                         + platform_store.REQUEST_ID.encode()
                         + b": other\r\n\r\nx", 64 * MIB)

    async def test_bytes_on_idle_connections_without_end(self):
        """Bytes arrive while no request waits for an answer."""
        await self.deploy(max_buffered_bytes=16 * MIB)
        senders = []

        async def send_endlessly(writer):
            await asyncio.sleep(0.2)  # Until the connection is idle.
            try:
                for _ in range(64 * MIB >> 16):
                    writer.write(b"x" * (64 << 10))
                    await writer.drain()
            except OSError:
                pass  # The node closed the connection.

        async def answer(message, writer):
            reusable = await self.backend.answer_with_size(message, writer)
            if message.words[1].endswith("/100"):
                senders.append(asyncio.create_task(send_endlessly(writer)))
            return reusable
        self.backend.answer = answer
        await asyncio.gather(*[
            exchange(self.node.address("client"),
                     encode_request("/front/100", f"idle-{number}"))
            for number in range(REQUESTS)])
        await asyncio.gather(*senders)
        self.assertEqual(len(senders), REQUESTS)
        await self.check_nodes()

    async def hold_after(self, start):
        """The answers to many requests begin with `start`, then stall."""
        await self.deploy(max_buffered_bytes=16 * MIB, slots=1000)
        released = asyncio.Event()

        async def answer(message, writer):
            if message.words[1] != "/front/stalled":
                return await self.backend.answer_with_size(message, writer)
            writer.write(start)
            await released.wait()
            return False
        self.backend.answer = answer
        for number in range(150):
            connection = await self.crowd.connect(self.node.address("client"))
            await self.crowd.send(connection, encode_request(
                "/front/stalled", f"stalled-{number}"))
        await asyncio.sleep(2)
        try:
            await self.check_nodes()
        finally:
            released.set()

    async def test_heads_of_many_short_fields_before_a_body_that_stalls(self):
        """Parsed fields are held until the body is complete."""
        await self.hold_after(STATUS_LINE + b"Content-Length: 9\r\n"
                              + b"a:\r\n" * 16_000 + b"\r\nbody")

    async def test_heads_of_many_short_fields_that_stall(self):
        """Parsed fields are held until the head is complete."""
        await self.hold_after(STATUS_LINE + b"a:\r\n" * 16_000)

    async def test_trailers_of_many_short_fields_that_stall(self):
        """Parsed trailers are held until all are complete."""
        await self.hold_after(
            STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
            + b"a:\r\n" * 16_000)


class Statuses(ExhaustionTestCase):
    async def test_status_000(self):
        """An answer without a valid status is no answer."""
        await self.deploy()

        async def answer(message, writer):
            if message.words[1] != "/front/broken":
                return await self.backend.answer_with_size(message, writer)
            writer.write(b"HTTP/1.1 000 Error\r\nContent-Length: 2\r\n\r\nno")
            return True
        self.backend.answer = answer
        response = await exchange(
            self.node.address("client"),
            encode_request("/front/broken", "broken",
                           {platform_store.DEADLINE_MS: "3000"}))
        self.assertIsNotNone(response)
        self.assertEqual(response.status, 502)
        await self.check_nodes()


class Requests(ExhaustionTestCase):
    async def test_requests_that_are_not_read(self):
        """Requests wait for a backend server that reads nothing."""
        await self.deploy(max_buffered_bytes=16 * MIB, slots=1000)
        self.backend.stop()
        stalled = []

        async def accept_only(reader, writer):
            writer.transport.pause_reading()
            stalled.append(writer)
        server = await asyncio.start_server(accept_only, *self.backend.address)
        self.addCleanup(server.close)
        body = b"x" * (MIB - 1)
        for number in range(200):
            connection = await self.crowd.connect(self.node.address("client"))
            await self.crowd.send(connection, encode_request(
                "/front/1", f"unread-{number}", body=body, method="POST"))
        await asyncio.sleep(1)
        self.check_resources()
        server.close()
        for writer in stalled:
            writer.transport.abort()
        await self.backend.start()
        await self.check_nodes()


if __name__ == "__main__":
    unittest.main()
