"""A node process with its proxies and its readiness checks."""

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
CHECK_INTERVAL_S = 1.0  # between readiness checks
# Time after the start of a node during which it may not be listening yet.
# Until it is, SIGTERM may terminate the process instead of making it exit with
# code 0.
STARTUP_S = 0.5
# Consecutive failed readiness checks that take a node out of rotation.
MAX_FAILED_CHECKS = 2


class Node:
    def __init__(self, config, directory, ledger, seed, stop_grace_s,
                 strict_revocation=False):
        self.config = config
        self.directory = directory
        self.ledger = ledger
        self.process = None
        self.exit_expected = True
        self.in_rotation = False
        self.first_start = True
        self.stop_grace_s = stop_grace_s
        self.strict_revocation = strict_revocation
        self.log_level = "info"
        self.call_proxy = Proxy(config.advertised_address("call"),
                                config.listen_address("call"), seed)
        self.store_proxy = Proxy(config.advertised_address("store"),
                                 plan.store_address(config.network_octet),
                                 seed + 1)
        self.started_at = 0.0

    @property
    def settings_file(self):
        return self.directory / f"{self.config.name}.json"

    def write_settings(self):
        def to_text(address):
            return "%s:%d" % address
        config = self.config
        revocation = {} if not self.strict_revocation else {
            "strict_revocation": True,
            "revocation_bound_ms": int(plan.REVOCATION_BOUND_S * 1000)}
        self.settings_file.write_text(json.dumps({
            "id": config.name, "service": config.service,
            "failure_domain": config.domain,
            "client_address": to_text(config.listen_address("client")),
            "readiness_address": to_text(config.listen_address("readiness")),
            "call_address": to_text(config.advertised_address("call")),
            "call_listen_address": to_text(config.listen_address("call")),
            "metrics_address": to_text(config.listen_address("metrics")),
            "backend_address": to_text(config.advertised_address("backend")),
            "discovery_address": to_text(config.advertised_address("store")),
            "first_start": self.first_start, "stop_grace_s": self.stop_grace_s,
            "retry_ratio": plan.RETRY_RATIO, "retry_slack": plan.RETRY_SLACK,
            "retry_window_s": plan.RETRY_WINDOW_S,
            **revocation, "log_level": self.log_level}))

    async def start_with_proxies(self):
        await self.call_proxy.start()
        await self.store_proxy.start()
        self.start()

    def start(self):
        self.write_settings()
        self.first_start = False
        self.started_at = time.monotonic()
        log = open(self.directory / f"{self.config.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "--mesh", str(self.settings_file)],
            stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.exit_expected = False

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if self.is_alive():
            self.process.send_signal(number)

    def kill(self):
        """Kills the process, even a paused one, and waits for its end."""
        self.exit_expected = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def terminate(self):
        """Sends SIGTERM, and SIGKILL if the node is still alive afterwards.

        Returns whether the node exited cleanly within its grace period.
        """
        self.exit_expected = True
        may_be_starting = time.monotonic() - self.started_at < STARTUP_S
        self.send_signal(signal.SIGTERM)
        until = time.monotonic() + self.stop_grace_s
        while self.is_alive() and time.monotonic() < until:
            await asyncio.sleep(0.02)
        clean_codes = (0, -signal.SIGTERM) if may_be_starting else (0,)
        clean = not self.is_alive() and self.process.returncode in clean_codes
        self.kill()
        return clean

    async def watch_readiness(self):
        # A node is out of rotation until its first successful check.
        failed_checks = MAX_FAILED_CHECKS
        while True:
            failed_checks = 0 if await self.is_ready() else failed_checks + 1
            self.in_rotation = failed_checks < MAX_FAILED_CHECKS
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(
                    *self.config.listen_address("readiness")), 0.5)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(
                http.request("GET", "/-/ready", "node").encode())
            response = await asyncio.wait_for(http.read_message(reader), 0.5)
            return response is not None and response.status == 200
        except (OSError, http.Malformed, asyncio.TimeoutError):
            return False
        finally:
            http.abort(writer)
