"""Randomized fault soak.

Runs real nodes as processes between stand-ins on loopback, injects faults
from outside, and checks the promises from what callers and backend servers
saw. Exits with 1 when a promise was broken; logs are then kept.
"""

import argparse
import asyncio
import os
import shutil
import signal
import sys
import time

from soak import ROOT
from soak.fleet import Fleet

CASES = ROOT / "soak" / "cases.txt"
SHUTDOWN_S = 0.5
LANES = 200  # addresses 127.20.x.x and up are used


def read_cases():
    """Seeds that once failed, one a line before its cause."""
    lines = CASES.read_text().splitlines()
    return [int(line.split()[0]) for line in lines
            if line and not line.startswith("#")]


def run_bounded(work):
    """Like asyncio.run, but with a bound on the time that the stand-ins'
    handlers take to end."""
    loop = asyncio.new_event_loop()
    try:
        result = loop.run_until_complete(work)
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(SHUTDOWN_S))
        return result
    finally:
        loop.close()


def run_seed(seed, options):
    fleet = Fleet(seed, 20 + (options.lane % LANES), options.nodes,
                  options.clients)
    start = time.monotonic()
    try:
        found, figures = run_bounded(fleet.run(options.seconds))
    except (KeyboardInterrupt, SystemExit):
        fleet.kill_nodes()
        os._exit(1)  # Without the ends of all stand-ins' tasks.
    except Exception:
        fleet.kill_nodes()
        raise
    fleet.write_notes(found)
    took = time.monotonic() - start
    print(f"seed {seed}: {'FAILED' if found else 'passed'} in {took:.0f} s, "
          f"{figures}", flush=True)
    for line in found[:20]:
        print("  " + line, flush=True)
    if found:
        print(f"  {len(found)} findings, logs in {fleet.directory}")
    else:
        shutil.rmtree(fleet.directory)
    return not found


def main():
    parser = argparse.ArgumentParser(prog="python3 -m soak",
                                     description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed (default: drawn "
                        "from the clock)")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--cases", action="store_true",
                        help="the seeds that once failed")
    parser.add_argument("--seconds", type=float, default=20,
                        help="time in which faults begin (default 20)")
    parser.add_argument("--nodes", type=int, default=3,
                        help="nodes of each of the three services")
    parser.add_argument("--clients", type=int, default=5,
                        help="clients of each node")
    parser.add_argument("--lane", type=int, default=0,
                        help="keeps soaks that run at once apart")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    first = int(time.time()) if options.seed is None else options.seed
    seeds = read_cases() if options.cases else range(first,
                                                     first + options.seeds)
    passed = [run_seed(seed, options) for seed in seeds]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
