"""Clients of the nodes, and the single exchange that they share with calls
made by backend servers."""

import asyncio
import hashlib
import random
import time

import store_standin as names
from soak import http
from soak.ledger import Sent

DEADLINE_S = 3.0
CONNECT_S = 1.0


def signature(request_id, instance):
    """What a backend server signs its answers with."""
    text = f"{request_id} {instance}".encode()
    return hashlib.sha256(text).hexdigest()[:16]


async def exchange(ledger, sent, address, deadline_s, link=None):
    """Sends a request and waits for its answer.

    Returns the open connection, or None when it has ended.
    """
    ledger.sent[sent.id] = sent
    sent.outcome = "unsent"
    try:
        if link is None:
            link = await asyncio.wait_for(
                asyncio.open_connection(*address), CONNECT_S)
        reader, writer = link
        method = "GET" if sent.route.idempotent else "POST"
        message = http.request(
            method, sent.target, sent.route.host,
            {names.REQUEST_ID: sent.id,
             names.DEADLINE_MS: str(int(deadline_s * 1000))}, sent.body)
        sent.at = time.monotonic()
        writer.write(message.encode())
        await writer.drain()
        sent.outcome = "closed"
        answer = await asyncio.wait_for(http.read_message(reader),
                                        max(0.01, deadline_s))
    except asyncio.TimeoutError:
        sent.outcome = "gave-up" if sent.outcome == "closed" else "unsent"
        answer = None
    except asyncio.CancelledError:
        sent.outcome = "gave-up"
        if link is not None:
            http.abort(link[1])
        sent.ended = time.monotonic()
        raise
    except http.Malformed as error:
        sent.detail = str(error)
        answer = None
    except OSError as error:
        sent.detail = str(error)
        answer = None
    sent.ended = time.monotonic()
    if answer is None:
        if link is not None:
            http.abort(link[1])
        return None
    sent.outcome = "answered"
    sent.status = answer.status
    sent.detail = check_answer(sent, answer)
    if (answer.headers.get("connection", "").lower() == "close"
            or sent.parent):
        writer.close()
        return None
    return link


def check_answer(sent, answer):
    """Returns what is wrong with an answer, or nothing."""
    if answer.headers.get(names.REQUEST_ID.lower(), sent.id) != sent.id:
        return "answer of another request"
    proof = answer.headers.get(names.SIGNATURE.lower())
    if not proof:
        return "success without signature" if answer.status < 300 else ""
    words = answer.body.decode("latin-1").split(" ")
    if len(words) != 2 or words[0] != sent.id:
        return "body of another request"
    expected = signature(words[0], words[1])
    return "" if proof == expected else "signature does not match"


class Client:
    """Sends requests to one node, one at a time, on kept connections."""

    def __init__(self, node, ledger, routes, seed):
        self.node = node
        self.ledger = ledger
        self.routes = routes  # callable: the routes that may be used now
        self.random = random.Random(seed)
        self.pause_s = 0.4
        self.gives_up = 0.0  # share of the requests that it leaves early
        self.running = True

    async def run(self):
        link = None
        while self.running:
            await asyncio.sleep(self.random.expovariate(1 / self.pause_s))
            if not self.node.in_rotation and link is None:
                continue
            route = self.random.choice(self.routes())
            body = b"" if route.idempotent else b"x" * 200
            request_id = f"{self.random.getrandbits(64):016x}"
            sent = Sent(request_id, route, self.node.place.name,
                        f"{route.prefix}{request_id[:4]}", body,
                        time.monotonic(), kept=link is not None)
            leave = self.random.random() < self.gives_up
            work = asyncio.create_task(exchange(
                self.ledger, sent, self.node.place.own("client"), DEADLINE_S,
                link))
            if leave:
                await asyncio.sleep(self.random.uniform(0.005, 0.1))
                work.cancel()
            try:
                link = await work
            except asyncio.CancelledError:
                link = None
            if sent.status in (429, 503):
                await asyncio.sleep(0.2)
        if link is not None:
            http.abort(link[1])
