#!/usr/bin/env python3
"""Cost of control as slopes over peers, customers and revisions.

Starts idle nodes (no backend servers, no calls) and prints, for each size,
processor time, bytes and memory of a node, the platform's reads, and the time
until a published revision is in force on every node.
usage: control.py [peers] [customers] [revisions] (default: all)
"""

import json
import statistics
import sys
import time

from mesh import Mesh, http

WINDOW = 20  # seconds
PEERS = (8, 32, 128)
CUSTOMERS = (10, 100, 1000)
REVISIONS_PER_S = (0, 1, 4)
DOMAINS = "d-1,d-2,d-3"


def contract(name, rate=100):
    paths = ("/modules/*", "/results/*", "/records", "/marks", "/fees",
             "/enrolments")
    methods = [{"service": "a", "method": "POST" if i > 1 else "GET",
                "path": p, "class": "critical" if i > 1 else "normal",
                "idempotent": i <= 1, "deadline_ms": 1000}
               for i, p in enumerate(paths)]
    return {"customer": name, "requests_per_second": rate,
            "methods": methods}


class Idle(Mesh):
    def __init__(self, nodes, customers):
        services = [f"s{i}:{min(16, nodes - i * 16)}:20:1000"
                    for i in range((nodes + 15) // 16)]
        super().__init__(services,
                         [contract(f"c{i}") for i in range(customers)],
                         {}, domains=DOMAINS, lag_ms=11000)

    def spawn(self, key, arguments):
        if not key.startswith("backend-"):
            super().spawn(key, arguments)

    def publish(self, name, rate):
        body = json.dumps(contract(name, rate)).encode()
        return int(http("PUT", f"http://127.0.0.1:{self.base}/admin/contracts/"
                               f"{name}", body))

    def reads(self):
        return int(http("GET", f"http://127.0.0.1:{self.base}/admin/reads"))

    def time_to_all(self, revision, start):
        waiting = set(self.settings)
        while waiting:
            for name in list(waiting):
                if self.status(name)["contracts_revision"] >= revision:
                    waiting.discard(name)
            if time.time() - start > 30:
                return float("inf")
        return time.time() - start


def loopback_bytes():
    for line in open("/proc/net/dev"):
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


def measure(mesh, revisions_per_s=0):
    names = list(mesh.settings)
    cpu = {n: mesh.cpu_seconds(n) for n in names}
    before = {n: mesh.metrics(n) for n in names}
    lo, reads, start = loopback_bytes(), mesh.reads(), time.time()
    count = 0
    while time.time() - start < WINDOW:
        if revisions_per_s:
            mesh.publish("c0", 100 + count)
            count += 1
            time.sleep(max(0, start + count / revisions_per_s - time.time()))
        else:
            time.sleep(1)
    spent = time.time() - start
    lo = loopback_bytes() - lo
    reads = mesh.reads() - reads
    cpu = [100 * (mesh.cpu_seconds(n) - cpu[n]) / spent for n in names]
    after = {n: mesh.metrics(n) for n in names}

    def rate(key):
        return statistics.mean(
            (after[n][key] - before[n][key]) / spent for n in names)
    label = '{plane="control"}'
    links = statistics.mean(
        after[n]["jujubespan_peer_connections" + label] for n in names)
    start = time.time()
    delay = mesh.time_to_all(mesh.publish("c1", 7), start)
    return {
        "cpu": statistics.mean(cpu), "cpu_max": max(cpu),
        "messages": rate("jujubespan_peer_sent_messages_total" + label),
        "payload": rate("jujubespan_peer_sent_bytes_total" + label),
        "wire": lo / spent / len(names), "links": links,
        "rss": statistics.mean(mesh.rss_mb(n) for n in names),
        "rss_max": max(mesh.rss_mb(n) for n in names),
        "reads": reads / spent, "delay": delay}


HEAD = ("| {} | cpu % of a core (max) | control messages/s | payload B/s | "
        "loopback B/s | connections | resident MB (max) | platform reads/s | "
        "revision in force everywhere |\n|---|---|---|---|---|---|---|---|---|")


def show(size, row):
    print(f"| {size} | {row['cpu']:.2f} ({row['cpu_max']:.2f}) | "
          f"{row['messages']:.1f} | {row['payload']:.0f} | "
          f"{row['wire']:.0f} | {row['links']:.1f} | {row['rss']:.1f} "
          f"({row['rss_max']:.1f}) | {row['reads']:.2f} | "
          f"{row['delay']:.2f} s |", flush=True)


def main():
    wanted = sys.argv[1:] or ["peers", "customers", "revisions"]
    if "peers" in wanted:
        print(HEAD.format("peers"))
        for peers in PEERS:
            with Idle(peers, 10) as mesh:
                show(peers, measure(mesh))
    if "customers" in wanted:
        print(HEAD.format("customers (8 peers)"))
        for customers in CUSTOMERS:
            with Idle(8, customers) as mesh:
                show(customers, measure(mesh))
    if "revisions" in wanted:
        print(HEAD.format("revisions a second (8 peers, 100 customers)"))
        for rate in REVISIONS_PER_S:
            with Idle(8, 100) as mesh:
                show(rate, measure(mesh, rate))


if __name__ == "__main__":
    main()
