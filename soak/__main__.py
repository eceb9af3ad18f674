"""Randomized soak test with fault injection.

Runs node processes with stand-ins for their environment on loopback, injects
faults and checks the promises against what callers and backend servers
observed. Exits with 1 and keeps the logs if a promise was broken.
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

CASES_FILE = ROOT / "soak" / "cases.txt"
SHUTDOWN_S = 0.5  # for the cancelled tasks of the stand-ins to end
NETWORK_COUNT = 200  # loopback networks from 127.20.x.x on, one per lane


def read_cases():
    """Returns the seeds of earlier failures.

    Each line of the file holds a seed and the cause of the failure.
    """
    lines = CASES_FILE.read_text().splitlines()
    return [int(line.split()[0]) for line in lines
            if line and not line.startswith("#")]


def run_with_bounded_shutdown(coroutine):
    """Like asyncio.run, but waits at most SHUTDOWN_S for remaining tasks."""
    loop = asyncio.new_event_loop()
    try:
        result = loop.run_until_complete(coroutine)
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(SHUTDOWN_S))
        return result
    finally:
        loop.close()


def run_seed(seed, options):
    fleet = Fleet(seed, 20 + (options.lane % NETWORK_COUNT), options.nodes,
                  options.clients)
    start = time.monotonic()
    try:
        violations, summary = run_with_bounded_shutdown(
            fleet.run(options.seconds))
    except (KeyboardInterrupt, SystemExit):
        fleet.kill_nodes()
        os._exit(1)  # Exits without waiting for the tasks of the stand-ins.
    except Exception:
        fleet.kill_nodes()
        raise
    fleet.write_reports(violations)
    duration_s = time.monotonic() - start
    print(f"seed {seed}: {'FAILED' if violations else 'passed'} "
          f"in {duration_s:.0f} s, {summary}", flush=True)
    for line in violations[:20]:
        print("  " + line, flush=True)
    if violations:
        print(f"  {len(violations)} violations, logs in {fleet.directory}")
    else:
        shutil.rmtree(fleet.directory)
    return not violations


def main():
    parser = argparse.ArgumentParser(prog="python3 -m soak",
                                     description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed (default: taken "
                        "from the clock)")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--cases", action="store_true",
                        help="run the seeds of earlier failures")
    parser.add_argument("--seconds", type=float, default=20,
                        help="time during which faults begin (default 20)")
    parser.add_argument("--nodes", type=int, default=3,
                        help="nodes of each of the three services (default 3)")
    parser.add_argument("--clients", type=int, default=5,
                        help="clients of each node (default 5)")
    parser.add_argument("--lane", type=int, default=0,
                        help="number that selects the loopback addresses; "
                        "parallel soaks need different ones (default 0)")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    first_seed = int(time.time()) if options.seed is None else options.seed
    seeds = read_cases() if options.cases else range(
        first_seed, first_seed + options.seeds)
    passed = [run_seed(seed, options) for seed in seeds]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
