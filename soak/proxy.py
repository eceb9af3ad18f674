"""A loopback TCP proxy that can delay, silence or reset its connections."""

import asyncio
import random
from dataclasses import dataclass, field

READ_SIZE = 65536  # bytes


@dataclass(eq=False)
class Connection:
    """One forwarded connection."""

    fault_draw: float  # faults apply if this is below their share
    writers: list = field(default_factory=list)
    lost_bytes: bool = False  # what follows can't be forwarded any more


class Proxy:
    """Forwards one address to another.

    A fault applies to a share of the connections, open and new ones alike.
    `delay` is in seconds; `drop_up` and `drop_down` silence one direction,
    and the bytes sent that way are lost.
    """

    def __init__(self, listen, target, seed):
        self.listen = listen
        self.target = target
        self.random = random.Random(seed)
        self.delay = 0.0
        self.drop_up = False
        self.drop_down = False
        self.share = 1.0
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen)

    def close(self):
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            self.reset(connection)

    def clear(self):
        """Ends the faults and resets the connections that lost bytes."""
        for connection in list(self.connections):
            if connection.lost_bytes:
                self.reset(connection)
        self.delay = 0.0
        self.drop_up = self.drop_down = False
        self.share = 1.0

    def reset_all(self, share=1.0):
        for connection in list(self.connections):
            if self.random.random() < share:
                self.reset(connection)

    def reset(self, connection):
        for writer in connection.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        connection = Connection(self.random.random(), [writer])
        self.connections.add(connection)
        try:
            peer_reader, peer_writer = await asyncio.open_connection(
                *self.target)
            connection.writers.append(peer_writer)
            await asyncio.gather(
                self.forward(connection, reader, peer_writer, "up"),
                self.forward(connection, peer_reader, writer, "down"))
        except (OSError, asyncio.CancelledError):
            pass  # The target is down or the run is over.
        finally:
            self.reset(connection)
            self.connections.discard(connection)

    async def forward(self, connection, reader, writer, direction):
        while data := await reader.read(READ_SIZE):
            if connection.fault_draw < self.share:
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.drop_up if direction == "up" else self.drop_down:
                    connection.lost_bytes = True
            if connection.lost_bytes:
                continue
            writer.write(data)
            await writer.drain()
        if not connection.lost_bytes and writer.can_write_eof():
            writer.write_eof()
