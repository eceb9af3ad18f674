"""A node as a process, its proxies, and its place in the rotation."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import time

from soak import ROOT, http, plan
from soak.proxy import Proxy

PROGRAM = pathlib.Path(os.environ.get(
    "NODE", ROOT / "build" / "apps" / "jujubespand"))
GRACE_S = 6.0     # from SIGTERM to SIGKILL
CHECK_S = 1.0     # between readiness checks
# A program that does not listen yet may end by the signal itself.
BARELY_STARTED_S = 0.5
MISSES_OUT = 2    # failed checks that take a node out of the rotation


class Node:
    def __init__(self, place, directory, ledger, seed):
        self.place = place
        self.directory = directory
        self.ledger = ledger
        self.process = None
        self.expected_end = True
        self.in_rotation = False
        self.first_start = True
        self.log_level = "info"
        self.calls = Proxy(place.listed("call"), place.own("call"), seed)
        self.store = Proxy(place.listed("store"),
                           plan.store_address(place.lane), seed + 1)
        self.started_at = 0.0

    @property
    def settings_file(self):
        return self.directory / f"{self.place.name}.json"

    def write_settings(self):
        def text(address):
            return "%s:%d" % address
        place = self.place
        self.settings_file.write_text(json.dumps({
            "id": place.name, "service": place.service,
            "failure_domain": place.domain,
            "client_address": text(place.own("client")),
            "readiness_address": text(place.own("readiness")),
            "call_address": text(place.listed("call")),
            "call_listen_address": text(place.own("call")),
            "metrics_address": text(place.own("metrics")),
            "backend_address": text(place.listed("backend")),
            "discovery_address": text(place.listed("store")),
            "first_start": self.first_start, "stop_grace_s": GRACE_S,
            "retry_ratio": plan.REPEAT_RATIO, "retry_slack": plan.REPEAT_SLACK,
            "retry_window_s": plan.REPEAT_WINDOW_S,
            "log_level": self.log_level}))

    async def open(self):
        await self.calls.start()
        await self.store.start()
        self.start()

    def start(self):
        self.write_settings()
        self.first_start = False
        self.started_at = time.monotonic()
        log = open(self.directory / f"{self.place.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "--mesh", str(self.settings_file)],
            stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.expected_end = False

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.expected_end = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def terminate(self):
        """Returns true when the node ended by itself within its grace."""
        self.expected_end = True
        young = time.monotonic() - self.started_at < BARELY_STARTED_S
        self.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while self.alive() and time.monotonic() < until:
            await asyncio.sleep(0.02)
        codes = (0, -signal.SIGTERM) if young else (0,)
        clean = not self.alive() and self.process.returncode in codes
        self.kill()
        return clean

    async def watch_readiness(self):
        misses = MISSES_OUT
        while True:
            misses = 0 if await self.check() else misses + 1
            self.in_rotation = misses < MISSES_OUT
            await asyncio.sleep(CHECK_S)

    async def check(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.place.own("readiness")), 0.5)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(
                http.request("GET", "/-/ready", "node").encode())
            answer = await asyncio.wait_for(http.read_message(reader), 0.5)
            return answer is not None and answer.status == 200
        except (OSError, http.Malformed, asyncio.TimeoutError):
            return False
        finally:
            http.abort(writer)
