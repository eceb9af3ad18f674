"""What all tests check: the node lives, stays within bounds and still serves."""

import asyncio
import unittest

import store_standin as platform_store
from exhaustion.crowd import Crowd
from exhaustion.deployment import (MEMORY_LIMIT_BYTES, OWN_DESCRIPTORS,
                                   Deployment, encode_request, exchange)

MAX_CONNECTIONS = 1000
# Attempts of an ordinary client, which is told to come back when it is refused.
ORDINARY_ATTEMPTS = 5
RETRY_DELAY_S = 0.5
ORDINARY_BODY_BYTES = 1000


class ExhaustionTestCase(unittest.IsolatedAsyncioTestCase):
    async def deploy(self, max_connections=MAX_CONNECTIONS, services=("front",),
                     slots=64, descriptor_limit=None, **settings):
        self.max_connections = max_connections
        self.deployment = Deployment(
            services, {"max_connections": max_connections, **settings}, slots,
            descriptor_limit)
        self.node = self.deployment.nodes[0]
        self.backend = self.deployment.backends[0]
        self.crowd = Crowd()
        self.addAsyncCleanup(self.clean_up)
        await self.deployment.start()

    async def clean_up(self):
        self.crowd.close()
        outcome = self._outcome.result if self._outcome else None
        failed = outcome is None or any(
            test is self for test, _ in outcome.failures + outcome.errors)
        await self.deployment.stop(keep_logs=failed)

    async def check_nodes(self, path="/front/"):
        """Checks all nodes while the crowd's connections are still open."""
        self.check_resources()
        response = await self.send_ordinary_request(path)
        self.assertIsNotNone(response, "an ordinary request got no answer")
        self.assertEqual(response.status, 200)
        self.assertEqual(len(response.body), ORDINARY_BODY_BYTES)
        self.crowd.close()
        self.check_resources()
        for node in self.deployment.nodes:
            self.assertEqual(await node.terminate(), 0,
                             f"exit code of {node.config.name}")

    def check_resources(self):
        for node in self.deployment.nodes:
            self.assertTrue(node.is_alive(), f"{node.config.name} has ended")
            self.assertLessEqual(node.peak_memory(), MEMORY_LIMIT_BYTES,
                                 f"memory of {node.config.name}")
            self.assertLessEqual(node.peak_descriptors,
                                 self.max_connections + OWN_DESCRIPTORS,
                                 f"descriptors of {node.config.name}")

    async def send_ordinary_request(self, path):
        response = None
        for attempt in range(ORDINARY_ATTEMPTS):
            response = await exchange(
                self.node.address("client"),
                encode_request(f"{path}{ORDINARY_BODY_BYTES}",
                               f"ordinary-{attempt}"))
            if response is not None and response.status == 200:
                return response
            await asyncio.sleep(RETRY_DELAY_S)
        return response

    def echo_headers(self, message):
        return {platform_store.REQUEST_ID: message.headers.get(
            platform_store.REQUEST_ID.lower(), "")}
