"""A loopback proxy whose connections can be delayed, cut or reset."""

import asyncio
import random
from dataclasses import dataclass, field

CHUNK = 65536  # bytes read at once


@dataclass(eq=False)
class Link:
    """One forwarded connection."""

    luck: float  # below the share of a fault: the fault holds for it
    writers: list = field(default_factory=list)
    torn: bool = False  # bytes were lost; nothing more can be forwarded


class Proxy:
    """Forwards one address to another.

    A fault holds for a share of the connections, those open and new ones:
    `delay` seconds of delay; `drop_up` and `drop_down` silence one direction.
    Bytes that are held up by a cut are lost.
    """

    def __init__(self, listen, target, seed):
        self.listen = listen
        self.target = target
        self.random = random.Random(seed)
        self.delay = 0.0
        self.drop_up = False
        self.drop_down = False
        self.share = 1.0
        self.links = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen)

    def close(self):
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            self.reset(link)

    def clear(self):
        """Ends the faults. Connections that lost bytes are reset."""
        for link in list(self.links):
            if link.torn:
                self.reset(link)
        self.delay = 0.0
        self.drop_up = self.drop_down = False
        self.share = 1.0

    def reset_all(self, share=1.0):
        for link in list(self.links):
            if self.random.random() < share:
                self.reset(link)

    def reset(self, link):
        for writer in link.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        link = Link(self.random.random(), [writer])
        self.links.add(link)
        try:
            peer_reader, peer_writer = await asyncio.open_connection(
                *self.target)
            link.writers.append(peer_writer)
            await asyncio.gather(self.pump(link, reader, peer_writer, "up"),
                                 self.pump(link, peer_reader, writer, "down"))
        except (OSError, asyncio.CancelledError):
            pass  # The target is down or the run is over.
        finally:
            self.reset(link)
            self.links.discard(link)

    async def pump(self, link, reader, writer, way):
        while data := await reader.read(CHUNK):
            if link.luck < self.share:
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.drop_up if way == "up" else self.drop_down:
                    link.torn = True
            if link.torn:
                continue
            writer.write(data)
            await writer.drain()
        if not link.torn and writer.can_write_eof():
            writer.write_eof()

