"""Calls between nodes: peers that do not read, and strangers."""

import asyncio
import signal
import struct
import unittest

from exhaustion.deployment import encode_request
from exhaustion.testcase import ExhaustionTestCase

MIB = 1 << 20
# Greeting and READY command of the ZeroMQ message transport protocol 3.0.
GREETING = (b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0")
            + bytes(32))
READY_BODY = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
READY = b"\x04" + bytes([len(READY_BODY)]) + READY_BODY
LONG_FRAME_FLAG = 2


class Peers(ExhaustionTestCase):
    async def test_replies_that_are_not_read(self):
        """Replies wait for a node that has stopped."""
        await self.deploy(services=("front", "middle"),
                          max_buffered_bytes=16 * MIB)
        stopped, guard = self.deployment.nodes
        released = asyncio.Event()
        server = self.deployment.backends[1]

        async def answer_when_released(message, writer):
            await released.wait()
            async with in_turn:
                return await server.answer_with_size(message, writer)
        in_turn = asyncio.Lock()  # Keeps each answer within the limits.
        server.answer = answer_when_released
        for number in range(40):
            connection = await self.crowd.connect(stopped.address("client"))
            await self.crowd.send(connection, encode_request(
                f"/middle/{8 * MIB}", f"unread-{number}"))
        await asyncio.sleep(1)
        stopped.send_signal(signal.SIGSTOP)
        released.set()
        await asyncio.sleep(3)
        self.check_resources()
        stopped.send_signal(signal.SIGCONT)
        self.node = guard  # An ordinary client of the node that ran all along.
        await self.check_nodes("/middle/")


    async def test_calls_that_are_not_read(self):
        """Calls with long bodies wait for a node that has stopped."""
        await self.deploy(services=("front", "middle"),
                          max_buffered_bytes=16 * MIB)
        stopped = self.deployment.nodes[1]
        stopped.send_signal(signal.SIGSTOP)
        body = b"x" * (MIB - 1)
        for number in range(200):
            connection = await self.crowd.connect(self.node.address("client"))
            await self.crowd.send(connection, encode_request(
                "/middle/1", f"unread-{number}", body=body, method="POST"))
        await asyncio.sleep(2)
        self.check_resources()
        stopped.send_signal(signal.SIGCONT)
        await self.check_nodes()


class Strangers(ExhaustionTestCase):
    async def connect_stranger(self):
        connection = await self.crowd.connect(self.node.address("call"))
        if connection is not None:
            await self.crowd.send(connection, GREETING + READY)
        return connection

    async def test_messages_that_do_not_end(self):
        """Partial messages of strangers are held without a limit."""
        await self.deploy(max_buffered_bytes=4 * MIB)
        frame = (bytes([LONG_FRAME_FLAG]) + struct.pack(">Q", 60 * MIB)
                 + b"x" * (10 * MIB))
        for _ in range(24):
            connection = await self.connect_stranger()
            await self.crowd.send(connection, frame)
        await self.check_nodes()

    async def test_messages_that_arrive_faster_than_they_are_read(self):
        """Messages of strangers wait in the queues of their connections."""
        await self.deploy(max_buffered_bytes=4 * MIB)
        message = (bytes([LONG_FRAME_FLAG]) + struct.pack(">Q", 3 * MIB)
                   + b"x" * (3 * MIB))

        async def send_messages():
            connection = await self.connect_stranger()
            for _ in range(40):
                await self.crowd.send(connection, message)
        await asyncio.gather(*[send_messages() for _ in range(8)])
        await self.check_nodes()

    async def test_more_connections_than_allowed(self):
        """Connections of strangers are not limited."""
        await self.deploy(max_connections=16)
        for _ in range(300):
            await self.connect_stranger()
        await self.check_nodes()

    async def test_greetings_without_end(self):
        """The greeting of a stranger never ends."""
        await self.deploy()
        await asyncio.gather(*[
            self.crowd.send_endlessly(self.node.address("call"), b"", b"\r\n",
                                      8 * MIB) for _ in range(40)])
        await self.check_nodes()


if __name__ == "__main__":
    unittest.main()
