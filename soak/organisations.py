"""Organisations of a run: their keys, and the keys that clients send."""

import asyncio
import random
import time

import store_standin as platform_store
from soak.ledger import KeyHolding

NAMES = ("org-0", "org-1", "org-2", "org-3")
MAX_KEYS = 3  # of an organisation


class Organisations:
    """Adds and revokes keys. All draws come from a generator of its own.

    Thus the other draws of a seed do not depend on it.
    """

    def __init__(self, ledger, seed):
        self.ledger = ledger
        self.random = random.Random(f"organisations {seed}")
        for name in NAMES:
            self.add_key(name)
            self.add_key(name)

    def add_key(self, name):
        key = f"{self.random.getrandbits(96):024x}"
        self.ledger.keys[key] = KeyHolding(name, time.monotonic())

    def valid_keys(self, name=None):
        return [key for key, holding in self.ledger.keys.items()
                if not holding.revoked_at
                and name in (None, holding.organisation)]

    def rows(self):
        """Returns the organisations as rows of the store's configuration."""
        return [[name, self.valid_keys(name), 0 if name == NAMES[0] else None,
                 None, None] for name in NAMES]

    async def change_keys(self, fleet, seconds):
        """Adds and revokes keys, of which one stays valid, for a time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            name = self.random.choice(NAMES)
            keys = self.valid_keys(name)
            revoked = None
            if len(keys) < MAX_KEYS and self.random.random() < 0.5:
                self.add_key(name)
            elif len(self.valid_keys()) > 1 and keys:
                revoked = self.ledger.keys[self.random.choice(keys)]
                revoked.revoked_at = time.monotonic()
            fleet.publish_keys()
            if revoked is not None:
                # The store has acknowledged the configuration.
                revoked.revoked_at = time.monotonic()
            self.ledger.add_log_line(
                f"{name}: a key {'revoked' if revoked else 'added'}")

    def add_headers(self, sent, generator):
        """Sets the key headers and a forged organisation of a request."""
        revoked = [key for key, holding in self.ledger.keys.items()
                   if holding.revoked_at]
        valid = generator.choice(self.valid_keys())
        draw = generator.random()
        if draw < 0.06:
            sent.keys = ()
        elif draw < 0.12:
            sent.keys = (f"{generator.getrandbits(96):024x}",)
        elif draw < 0.16:
            sent.keys = (valid, generator.choice(self.valid_keys()))
        elif draw < 0.18:
            sent.keys = (valid * 20,)  # longer than any key
        elif draw < 0.28 and revoked:
            sent.keys = (generator.choice(revoked),)
        else:
            sent.keys = (valid,)
        if generator.random() < 0.1:
            sent.forged_organisation = generator.choice(NAMES)


def headers_of(sent):
    """Returns the headers with the keys and the forged organisation."""
    # Names differ in case, since the headers of a message are a dictionary.
    names = (platform_store.API_KEY, platform_store.API_KEY.lower())
    headers = dict(zip(names, sent.keys))
    if sent.forged_organisation:
        headers[platform_store.ORGANISATION] = sent.forged_organisation
    return headers
