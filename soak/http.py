"""Minimal HTTP/1.1 messages over asyncio streams for the stand-ins."""

import asyncio

MAX_BODY_BYTES = 1 << 20  # far more than any body of the soak


class Malformed(Exception):
    """The received bytes are not a valid HTTP message."""


class Message:
    """A request or a response; received header names are in lower case."""

    def __init__(self, start_line, headers, body=b""):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def words(self):
        return self.start_line.split(" ", 2)

    @property
    def status(self):
        return int(self.words[1])

    def encode(self):
        lines = [self.start_line]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


async def read_message(reader):
    """Returns the next message, or None if the stream ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Malformed("message ends within its header") from error
        return None
    except asyncio.LimitOverrunError as error:
        raise Malformed("header section too long") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, colon, value = line.partition(":")
        if not colon:
            raise Malformed(f"header line without a colon: {line!r}")
        headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers)
    if len(message.words) < 2:
        raise Malformed(f"invalid start line {lines[0]!r}")
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            message.body = await read_chunks(reader)
        else:
            length = int(headers.get("content-length", "0"))
            if length > MAX_BODY_BYTES:
                raise Malformed("body too long")
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise Malformed("message ends within its body") from error
    return message


async def read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if size == 0:
            return b"".join(parts)


def response(status, headers=None, body=b""):
    return Message(f"HTTP/1.1 {status} Standin", headers or {}, body)


def request(method, target, host, headers=None, body=b""):
    return Message(f"{method} {target} HTTP/1.1",
                   {"Host": host, **(headers or {})}, body)


def abort(writer):
    """Resets a connection."""
    if writer.transport is not None:
        writer.transport.abort()
