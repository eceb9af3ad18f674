"""Compares the retries of a service with its budget, from the logs of a run.

Reads log lines of all nodes of a run, each preceded by the time in seconds and
the name of the node, and prints for each service and second the sums over its
guards, and the retries charged in the window that ends there beside its budget:

    bench/retry_budget.py LOG [--ratio 0.2] [--slack 96] [--window 10]

A guard logs only when retries have arrived since its last line. Client requests
since then count in the second of the line.
"""

import argparse
import collections

import lost_requests

COLUMNS = ("requests", "withdrawn", "attempts", "calls", "denied",
           "without_parent")


def sums_by_second(lines):
    """Returns the sums of the `retry_budget` lines by service and second."""
    result = collections.defaultdict(
        lambda: collections.defaultdict(collections.Counter))
    for line in lines:
        parsed = lost_requests.parse(line)
        if parsed is None or parsed[2]["event"] != "retry_budget":
            continue
        at, _, fields = parsed
        sums = result[fields["service"]][int(at)]
        for column in COLUMNS:
            sums[column] += int(fields.get(column, 0))
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log")
    parser.add_argument("--ratio", type=float, default=0.2)
    parser.add_argument("--slack", type=float, default=96)
    parser.add_argument("--window", type=int, default=10, help="seconds")
    options = parser.parse_args()
    with open(options.log, encoding="utf-8", errors="replace") as file:
        services = sums_by_second(file)
    for service, seconds in sorted(services.items()):
        print(service)
        print("second", *COLUMNS, "window_retries", "window_budget", sep="\t")
        for second, sums in sorted(seconds.items()):
            window = [seconds[at] for at in seconds
                      if second - options.window < at <= second]
            retries = sum(s["attempts"] + s["calls"] for s in window)
            requests = sum(s["requests"] - s["withdrawn"] for s in window)
            budget = options.ratio * requests + options.slack
            print(second, *(sums[column] for column in COLUMNS), retries,
                  round(budget), sep="\t")


if __name__ == "__main__":
    main()
