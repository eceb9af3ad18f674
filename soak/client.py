"""Clients of the nodes, and the functions with which backend servers call."""

import asyncio
import hashlib
import random
import time

import store_standin as platform_store
from soak import http, organisations
from soak.ledger import SentRequest

REQUEST_DEADLINE_S = 3.0
CONNECT_TIMEOUT_S = 1.0


def compute_signature(request_id, instance):
    """Returns the signature that a backend server adds to its response."""
    text = f"{request_id} {instance}".encode()
    return hashlib.sha256(text).hexdigest()[:16]


async def send_request(ledger, sent, address, deadline_s, connection=None):
    """Sends a request and waits for its response.

    Records the outcome in `sent`. Returns the connection if it can be used
    again, otherwise None.
    """
    ledger.sent[sent.id] = sent
    sent.outcome = "unsent"
    try:
        if connection is None:
            connection = await asyncio.wait_for(
                asyncio.open_connection(*address), CONNECT_TIMEOUT_S)
        reader, writer = connection
        method = "GET" if sent.route.idempotent else "POST"
        message = http.request(
            method, sent.target, sent.route.host,
            {platform_store.REQUEST_ID: sent.id,
             platform_store.DEADLINE_MS: str(int(deadline_s * 1000)),
             **organisations.headers_of(sent)},
            sent.body)
        sent.at = time.monotonic()
        writer.write(message.encode())
        await writer.drain()
        sent.outcome = "closed"
        response = await asyncio.wait_for(http.read_message(reader),
                                          max(0.01, deadline_s))
    except asyncio.TimeoutError:
        sent.outcome = "gave-up" if sent.outcome == "closed" else "unsent"
        response = None
    except asyncio.CancelledError:
        sent.outcome = "gave-up"
        if connection is not None:
            http.abort(connection[1])
        sent.ended = time.monotonic()
        raise
    except http.Malformed as error:
        sent.detail = str(error)
        response = None
    except OSError as error:
        sent.detail = str(error)
        response = None
    sent.ended = time.monotonic()
    if response is None:
        if connection is not None:
            http.abort(connection[1])
        return None
    sent.outcome = "answered"
    sent.status = response.status
    sent.reason = response.headers.get("jujubespan-reason", "")
    sent.detail = check_response(sent, response)
    record_announcements(ledger, sent, response)
    if (response.headers.get("connection", "").lower() == "close"
            or sent.parent):
        writer.close()
        return None
    return connection


def record_announcements(ledger, sent, response):
    """Records what the instance announced in a response that a node passed on."""
    words = response.body.decode("latin-1").split(" ")
    if len(words) != 2:
        return
    for header, told in ((platform_store.RATE_LIMIT, ledger.told_limit),
                         (platform_store.LEAVING, ledger.told_leaving)):
        if header.lower() in response.headers:
            told.setdefault((sent.node, words[1]), sent.ended)


def check_response(sent, response):
    """Returns what is wrong with a response, or an empty string."""
    if response.headers.get(platform_store.REQUEST_ID.lower(),
                            sent.id) != sent.id:
        return "response of another request"
    actual = response.headers.get(platform_store.SIGNATURE.lower())
    if not actual:
        return "success without signature" if response.status < 300 else ""
    words = response.body.decode("latin-1").split(" ")
    if len(words) != 2 or words[0] != sent.id:
        return "body of another request"
    expected = compute_signature(words[0], words[1])
    return "" if actual == expected else "signature does not match"


class Client:
    """Sends requests to one node, one at a time, and reuses its connection."""

    def __init__(self, node, ledger, current_routes, seed,
                 key_source=None):
        self.node = node
        self.ledger = ledger
        # A function, since the routes change during a run.
        self.current_routes = current_routes
        self.random = random.Random(seed)
        self.key_source = key_source  # None: requests need no key
        self.key_random = random.Random(f"keys {seed}")
        self.pause_s = 0.4   # mean time between two requests
        self.gives_up = 0.0  # share of the requests that are abandoned
        self.running = True

    async def run(self):
        connection = None
        while self.running:
            await asyncio.sleep(self.random.expovariate(1 / self.pause_s))
            if not self.node.in_rotation and connection is None:
                continue
            route = self.random.choice(self.current_routes())
            body = b"" if route.idempotent else b"x" * 200
            request_id = f"{self.random.getrandbits(64):016x}"
            sent = SentRequest(request_id, route, self.node.config.name,
                               f"{route.prefix}{request_id[:4]}", body,
                               time.monotonic(),
                               reused_connection=connection is not None)
            if self.key_source is not None:
                self.key_source.add_headers(sent, self.key_random)
            abandons = self.random.random() < self.gives_up
            request_task = asyncio.create_task(send_request(
                self.ledger, sent, self.node.config.listen_address("client"),
                REQUEST_DEADLINE_S, connection))
            if abandons:
                await asyncio.sleep(self.random.uniform(0.005, 0.1))
                request_task.cancel()
            try:
                connection = await request_task
            except asyncio.CancelledError:
                connection = None
            if sent.status in (429, 503):
                await asyncio.sleep(0.2)
        if connection is not None:
            http.abort(connection[1])
