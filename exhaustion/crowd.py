"""Clients that send and read in ways that a proper client does not."""

import asyncio
import socket

RECEIVE_BUFFER_BYTES = 4096
SEND_BLOCK_BYTES = 64 << 10


class Crowd:
    """Open connections of misbehaving clients."""

    def __init__(self):
        self.sockets = []

    async def connect(self, address):
        """Returns a new connection with a small receive buffer.

        Returns None if the node does not accept it.
        """
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                              RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        self.sockets.append(connection)
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(connection, address),
                5.0)
        except (OSError, asyncio.TimeoutError):
            return None
        return connection

    async def send(self, connection, data, timeout_s=5.0):
        """Sends until the node takes no more bytes or closes the connection.

        Returns whether all bytes were sent.
        """
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_sendall(connection, data),
                timeout_s)
        except (OSError, asyncio.TimeoutError):
            return False
        return True

    async def send_endlessly(self, address, start, block, total_bytes):
        """Sends `start`, then repeats `block` for `total_bytes`."""
        connection = await self.connect(address)
        if connection is None or not await self.send(connection, start):
            return
        data = block * (SEND_BLOCK_BYTES // len(block))
        for _ in range(total_bytes // len(data)):
            if not await self.send(connection, data, timeout_s=1.0):
                return

    async def wait_for_first_byte(self, connection, timeout_s=20.0):
        """Waits without reading until a connection has bytes or is closed."""
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        loop.add_reader(connection, readable.set)
        try:
            await asyncio.wait_for(readable.wait(), timeout_s)
        except asyncio.TimeoutError:
            pass
        finally:
            loop.remove_reader(connection)

    def close(self):
        for connection in self.sockets:
            connection.close()
        self.sockets.clear()
