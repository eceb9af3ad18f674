"""Tables the requests that a fleet did not serve, by time, cause and route.

Reads log lines of all nodes of a run, each preceded by the time in seconds and
the name of the node, and prints for the windows with the largest loss who was
refused or failed and why:

    bench/lost_requests.py LOG [--window 2] [--worst 5] [--worth ROUTE=3 ...]

A request that came back after a refusal counts once for each refusal. Lines
that the log left out to bound its volume are counted with the cause of the
line that reports their number in its `dropped` field.
"""

import argparse
import collections
import re

FIELD = re.compile(r"(\w+)=(\"[^\"]*\"|\S+)")
LOSSES = ("request_shed", "request_failed", "request_refused", "client_gone")


def parse(line):
    """Returns the time, the node and the fields of a line; None if it has none."""
    words = line.split(None, 2)
    if len(words) < 3:
        return None
    try:
        at = float(words[0])
    except ValueError:
        return None
    fields = dict(FIELD.findall(words[2]))
    return (at, words[1], fields) if "event" in fields else None


def cause_of(fields):
    """Names why a request was lost, and which service is responsible."""
    event = fields["event"]
    if event == "request_shed":
        return f"refused at the entry: pressure of {fields.get('service')}"
    if event == "client_gone":
        return "client left"
    reason = fields.get("reason", "unknown")
    status = fields.get("status", "0")
    if event == "request_failed" and status not in ("0", "200"):
        reason = f"status {status} of a backend server"
    place = fields.get("service")
    return f"{reason} at {place}" if place else reason


def table(lines, window, worth):
    """Sums the lost worth by window, domain, cause and route."""
    domains = {}
    lost = collections.defaultdict(collections.Counter)
    for line in lines:
        parsed = parse(line)
        if parsed is None:
            continue
        at, node, fields = parsed
        if fields["event"] == "started":
            domains[node] = fields.get("failure_domain", "-")
        nested = "." in fields.get("request", "")
        if fields["event"] in LOSSES and not nested:
            count = 1 + int(fields.get("dropped", 0))
            route = fields.get("route", "-")
            key = (domains.get(node, "-"), cause_of(fields), route)
            lost[int(at // window) * window][key] += count * worth.get(route, 1)
    return lost


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log")
    parser.add_argument("--window", type=int, default=2, help="seconds")
    parser.add_argument("--worst", type=int, default=5, help="windows to print")
    parser.add_argument("--rows", type=int, default=12, help="rows of a window")
    parser.add_argument("--worth", action="append", default=[],
                        metavar="ROUTE=WORTH")
    options = parser.parse_args()
    worth = {}
    for item in options.worth:
        route, separator, value = item.partition("=")
        if not separator or not value.replace(".", "", 1).isdigit():
            parser.error(f"--worth {item}: expected ROUTE=NUMBER")
        if route in worth:
            parser.error(f"--worth {route}: given twice")
        worth[route] = float(value)
    with open(options.log, encoding="utf-8", errors="replace") as log:
        lost = table(log, options.window, worth)
    windows = sorted(lost, key=lambda at: -sum(lost[at].values()))
    for at in sorted(windows[: options.worst]):
        print(f"from second {at}: lost {sum(lost[at].values()):.0f}")
        for (domain, cause, route), value in lost[at].most_common(options.rows):
            print(f"  {value:8.0f}  {domain:12s} {cause}  route {route}")


if __name__ == "__main__":
    main()
