"""A link that can be cut silently: nothing passes, and no one is told."""

import asyncio
import socket

from soak import http

# A peer gives up a connection on which data stays unacknowledged this long.
UNACKNOWLEDGED_S = 1.0
FILLERS = 3


class Link:
    """Forwards connections from one loopback address to another.

    While it is cut, opening packets are dropped, since the queue of new
    connections is full, and open connections carry nothing and then end.
    """

    def __init__(self, listen_address, target_address):
        self.listen_address = listen_address
        self.target_address = target_address
        self.cut = False
        self.fillers = []
        self.writers = set()
        self.tasks = set()

    def start(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.listen_address)
        self.socket.listen(0)
        self.socket.setblocking(False)
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.socket)
            task = asyncio.create_task(self.serve(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def begin_cut(self):
        self.cut = True
        self.accepting.cancel()
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listen_address)
            self.fillers.append(filler)
        await asyncio.sleep(UNACKNOWLEDGED_S)
        for writer in list(self.writers):
            http.abort(writer)

    def end_cut(self):
        self.cut = False
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.accepting = asyncio.create_task(self.accept())

    async def serve(self, connection):
        writers = []
        try:
            reader, writer = await asyncio.open_connection(sock=connection)
            writers.append(writer)
            there, back = await asyncio.open_connection(*self.target_address)
            writers.append(back)
            self.writers.update(writers)
            await asyncio.gather(self.forward(reader, back),
                                 self.forward(there, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for writer in writers:
                self.writers.discard(writer)
                http.abort(writer)

    async def forward(self, reader, writer):
        while data := await reader.read(65536):
            while self.cut:
                await asyncio.sleep(0.01)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError

    def close(self):
        self.accepting.cancel()
        for filler in self.fillers:
            filler.close()
        for writer in list(self.writers):
            http.abort(writer)
        for task in list(self.tasks):
            task.cancel()
        self.socket.close()
