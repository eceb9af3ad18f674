#!/usr/bin/env python3
"""Upper bound of the whole requests that retries can save along a call chain.

The last service of a chain rejects a share of its calls at once, although it
has free slots. A request makes several calls there, one after the other, and
fails with the first call that fails for good. A retry is paid from the retry
budget of the called service, which grows with the requests that clients send
to that service themselves, not with the calls of other services.

The bound is that of a policy which decides on each retry with full knowledge
of what the request has already completed: by Lagrangian duality it is the
least value, over all prices of a retry, of what the best policy earns at that
price plus the price of the whole budget.
"""

import argparse
import dataclasses

PRICE_STEPS = 2000


def value_at_price(rejected, calls, attempts, price, on_failure=0.0):
    """Whole requests, less the price of the retries, of the best policy.

    `on_failure` is what a request is still worth once a call has failed for
    good: that of the client's next attempt.
    """
    served = 1 - rejected
    following = 1.0
    for _ in range(calls):
        value = served * following + rejected * on_failure
        for _ in range(attempts - 1):
            value = served * following + rejected * max(on_failure,
                                                        value - price)
        following = value
    return following


def bound(rejected, calls, attempts, budget):
    """Largest share of whole requests, for a budget of retries a request."""
    return min(value_at_price(rejected, calls, attempts, step / PRICE_STEPS)
               + budget * step / PRICE_STEPS
               for step in range(PRICE_STEPS + 1))


@dataclasses.dataclass
class Kind:
    """Requests of one kind in a mix."""

    name: str
    worth: float  # of one request that is served
    rate: float  # per second
    calls: int  # to the last service
    client_attempts: int  # further ones only if a failed one may be repeated

    @classmethod
    def parse(cls, text):
        name, worth, rate, calls, client_attempts = text.split(",")
        return cls(name, float(worth), float(rate), int(calls),
                   int(client_attempts))


def worth_at_price(kind, rejected, attempts, price):
    """Worth of one request of a kind, less the price of its retries."""
    value = 0.0
    for _ in range(kind.client_attempts):
        value = value_at_price(rejected, kind.calls, attempts,
                               price / kind.worth, value)
    return kind.worth * value


def mix_bound(kinds, rejected, attempts, budget):
    """Largest share of the worth offered, for a budget of retries a second."""
    offered = sum(kind.worth * kind.rate for kind in kinds)
    most = max(kind.worth for kind in kinds)
    prices = [most * step / PRICE_STEPS for step in range(PRICE_STEPS + 1)]
    return min(price * budget
               + sum(kind.rate * worth_at_price(kind, rejected, attempts, price)
                     for kind in kinds)
               for price in prices) / offered


def print_mix(options):
    kinds = [Kind.parse(text) for text in options.mix]
    print(f"share of the worth that can be served with {options.budget} retries "
          "a second:")
    for rejected in (0.3, 0.45, 0.55, 0.7):
        share = mix_bound(kinds, rejected, options.attempts, options.budget)
        without = mix_bound(kinds, rejected, 1, 0)
        print(f"  rejected {rejected:.2f}: {share:.3f}, without retries "
              f"{without:.3f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--attempts", type=int, default=2,
                        help="servers to which one call may be sent")
    parser.add_argument("--budget", type=float, default=0.05,
                        help="retries of the last service for each request; "
                             "with --mix, a second")
    parser.add_argument("--mix", nargs="+",
                        metavar="NAME,WORTH,RATE,CALLS,CLIENT_ATTEMPTS",
                        help="bound of a mix of kinds of requests")
    options = parser.parse_args()
    if options.mix:
        print_mix(options)
        return
    print(f"attempts a call: {options.attempts}, retries a request: "
          f"{options.budget}")
    print("rejected  calls  without retries  unlimited budget  bound")
    for rejected in (0.1, 0.3, 0.5, 0.55, 0.8):
        for calls in (1, 2, 4, 8):
            print(f"{rejected:8.2f}  {calls:5}  "
                  f"{(1 - rejected) ** calls:15.3f}  "
                  f"{value_at_price(rejected, calls, options.attempts, 0):16.3f}"
                  f"  {bound(rejected, calls, options.attempts, options.budget):5.3f}")


if __name__ == "__main__":
    main()
