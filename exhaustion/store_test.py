"""A store whose answers are no answers and never end."""

import asyncio
import unittest

from exhaustion.testcase import ExhaustionTestCase
from soak import http

MIB = 1 << 20
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CALLS = 4


class Answers(ExhaustionTestCase):
    async def press(self, start, block, total_bytes=64 * MIB):
        """Answers some calls with `start` and then `block` without end."""
        await self.deploy(max_buffered_bytes=16 * MIB)
        store = self.deployment.store
        store.close()
        pressed = asyncio.Semaphore(0)

        async def answer(reader, writer):
            try:
                await http.read_message(reader)
                writer.write(start)
                data = block * ((64 << 10) // len(block))
                for _ in range(total_bytes // len(data)):
                    writer.write(data)
                    await writer.drain()
            except (OSError, http.Malformed):
                pass  # The node closed the connection.
            finally:
                pressed.release()
                http.abort(writer)
        server = await asyncio.start_server(answer, *store.address)
        for _ in range(CALLS):
            await asyncio.wait_for(pressed.acquire(), 20)
        server.close()
        await server.wait_closed()
        self.check_resources()
        await store.start()
        await self.check_nodes()

    async def test_bytes_without_lines_that_never_end(self):
        """An answer is no HTTP, and has no line ends."""
        await self.press(b"", bytes(range(128, 256)))

    async def test_header_fields_without_end(self):
        """The head of an answer never ends."""
        await self.press(STATUS_LINE, b"a:\r\n")

    async def test_bodies_without_end(self):
        """Bodies that end with their connection never end."""
        await self.press(STATUS_LINE + b"\r\n", b"x" * 64)

    async def test_chunks_without_end(self):
        """The chunks of an answer never end."""
        await self.press(STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n",
                         b"10\r\n" + b"x" * 16 + b"\r\n")

    async def test_long_bodies_of_short_values(self):
        """Parsed values take many times their size on the wire."""
        size = 12 * MIB
        await self.press(
            STATUS_LINE + b"Content-Length: %d\r\n\r\n{\"events\":[" % size,
            b"0," * 32, size)


if __name__ == "__main__":
    unittest.main()
