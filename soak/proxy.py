"""A loopback TCP proxy that can delay or drop bytes and reset connections."""

import asyncio
import random
from dataclasses import dataclass, field

READ_SIZE = 65536  # bytes


@dataclass(eq=False)
class Connection:
    """One forwarded connection."""

    fault_draw: float  # faults apply if this is below `Proxy.fault_share`
    writers: list = field(default_factory=list)
    # Whether bytes were dropped. Later bytes are then dropped as well, since
    # the receiver can't interpret them without the earlier ones.
    has_lost_bytes: bool = False


class Proxy:
    """Forwards connections from one address to another.

    Faults apply to the share `fault_share` of the connections, both open and
    new ones. `delay` (in seconds) is added before each forwarded block of
    bytes. `drop_up` drops the bytes sent to the target, `drop_down` those
    sent by it.
    """

    def __init__(self, listen_address, target_address, seed):
        self.listen_address = listen_address
        self.target_address = target_address
        self.random = random.Random(seed)
        self.delay = 0.0
        self.drop_up = False
        self.drop_down = False
        self.fault_share = 1.0
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve_connection, *self.listen_address)

    def close(self):
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            self.reset_connection(connection)

    def clear_faults(self):
        """Ends the faults, and resets the connections that lost bytes."""
        for connection in list(self.connections):
            if connection.has_lost_bytes:
                self.reset_connection(connection)
        self.delay = 0.0
        self.drop_up = self.drop_down = False
        self.fault_share = 1.0

    def reset_connections(self, fault_share=1.0):
        for connection in list(self.connections):
            if self.random.random() < fault_share:
                self.reset_connection(connection)

    def reset_connection(self, connection):
        for writer in connection.writers:
            writer.transport.abort()

    async def serve_connection(self, reader, writer):
        connection = Connection(self.random.random(), [writer])
        self.connections.add(connection)
        try:
            peer_reader, peer_writer = await asyncio.open_connection(
                *self.target_address)
            connection.writers.append(peer_writer)
            await asyncio.gather(
                self.forward(connection, reader, peer_writer, "up"),
                self.forward(connection, peer_reader, writer, "down"))
        except (OSError, asyncio.CancelledError):
            pass  # The target is down or the run is over.
        finally:
            self.reset_connection(connection)
            self.connections.discard(connection)

    async def forward(self, connection, reader, writer, direction):
        while data := await reader.read(READ_SIZE):
            if connection.fault_draw < self.fault_share:
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.drop_up if direction == "up" else self.drop_down:
                    connection.has_lost_bytes = True
            if connection.has_lost_bytes:
                continue
            writer.write(data)
            await writer.drain()
        if not connection.has_lost_bytes and writer.can_write_eof():
            writer.write_eof()
