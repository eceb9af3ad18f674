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

PRICE_STEPS = 2000


def value_at_price(rejected, calls, attempts, price):
    """Whole requests, less the price of the retries, of the best policy."""
    served = 1 - rejected
    following = 1.0
    for _ in range(calls):
        value = served * following
        for _ in range(attempts - 1):
            value = served * following + rejected * max(0.0, value - price)
        following = value
    return following


def bound(rejected, calls, attempts, budget):
    """Largest share of whole requests, for a budget of retries a request."""
    return min(value_at_price(rejected, calls, attempts, step / PRICE_STEPS)
               + budget * step / PRICE_STEPS
               for step in range(PRICE_STEPS + 1))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--attempts", type=int, default=2,
                        help="servers to which one call may be sent")
    parser.add_argument("--budget", type=float, default=0.05,
                        help="retries of the last service for each request")
    options = parser.parse_args()
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
