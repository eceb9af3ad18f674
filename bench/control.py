#!/usr/bin/env python3
"""Measures what the control plane costs a node.

Varies the number of peers, of customers, or of contract revisions published a
second. The nodes are idle: there are no backend servers and no calls. Prints
the processor time, traffic and memory of a node, the rate of reads from the
platform, and the time until a published revision is in force on every node.
usage: control.py [peers] [customers] [revisions] (default: all)
"""

import json
import statistics
import sys
import time

from mesh import Mesh, send_http

MEASUREMENT_S = 20
PEERS = (8, 32, 128)
CUSTOMERS = (10, 100, 1000)
REVISIONS_PER_S = (0, 1, 4)
DOMAINS = "d-1,d-2,d-3"


def make_contract(name, rate=100):
    paths = ("/modules/*", "/results/*", "/records", "/marks", "/fees",
             "/enrolments")
    methods = [{"service": "a", "method": "POST" if i > 1 else "GET",
                "path": p, "class": "critical" if i > 1 else "normal",
                "idempotent": i <= 1, "deadline_ms": 1000}
               for i, p in enumerate(paths)]
    return {"customer": name, "requests_per_second": rate,
            "methods": methods}


class IdleMesh(Mesh):
    def __init__(self, nodes, customers):
        services = [f"s{i}:{min(16, nodes - i * 16)}:20:1000"
                    for i in range((nodes + 15) // 16)]
        super().__init__(services,
                         [make_contract(f"c{i}") for i in range(customers)],
                         {}, domains=DOMAINS, list_lag_ms=11000)

    def start_process(self, process_name, arguments):
        if not process_name.startswith("backend-"):
            super().start_process(process_name, arguments)

    def publish_contract(self, name, rate):
        body = json.dumps(make_contract(name, rate)).encode()
        return int(send_http(
            "PUT", f"http://127.0.0.1:{self.base_port}/admin/contracts/"
                   f"{name}", body))

    def count_platform_reads(self):
        return int(send_http(
            "GET", f"http://127.0.0.1:{self.base_port}/admin/reads"))

    def wait_for_revision(self, revision, start):
        """Returns the seconds from `start` until all nodes use a revision.

        Returns infinity after 30 s.
        """
        waiting = set(self.settings)
        while waiting:
            for name in list(waiting):
                if self.read_status(name)["contracts_revision"] >= revision:
                    waiting.discard(name)
            if time.time() - start > 30:
                return float("inf")
        return time.time() - start


def read_loopback_bytes():
    """Returns the bytes that the loopback interface has received."""
    for line in open("/proc/net/dev"):
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


def measure_control_cost(mesh, revisions_per_s=0):
    node_names = list(mesh.settings)
    cpu = {n: mesh.cpu_seconds(n) for n in node_names}
    before = {n: mesh.read_metrics(n) for n in node_names}
    loopback_bytes, reads, start = \
        read_loopback_bytes(), mesh.count_platform_reads(), time.time()
    published = 0
    while time.time() - start < MEASUREMENT_S:
        if revisions_per_s:
            mesh.publish_contract("c0", 100 + published)
            published += 1
            time.sleep(max(
                0, start + published / revisions_per_s - time.time()))
        else:
            time.sleep(1)
    elapsed_s = time.time() - start
    loopback_bytes = read_loopback_bytes() - loopback_bytes
    reads = mesh.count_platform_reads() - reads
    cpu = [100 * (mesh.cpu_seconds(n) - cpu[n]) / elapsed_s
           for n in node_names]
    after = {n: mesh.read_metrics(n) for n in node_names}

    def mean_rate(key):
        return statistics.mean(
            (after[n][key] - before[n][key]) / elapsed_s for n in node_names)
    label = '{plane="control"}'
    connections = statistics.mean(
        after[n]["jujubespan_peer_connections" + label] for n in node_names)
    start = time.time()
    delay_s = mesh.wait_for_revision(mesh.publish_contract("c1", 7), start)
    return {
        "cpu": statistics.mean(cpu), "cpu_max": max(cpu),
        "messages": mean_rate("jujubespan_peer_sent_messages_total" + label),
        "payload": mean_rate("jujubespan_peer_sent_bytes_total" + label),
        "wire": loopback_bytes / elapsed_s / len(node_names),
        "links": connections,
        "rss": statistics.mean(mesh.rss_mib(n) for n in node_names),
        "rss_max": max(mesh.rss_mib(n) for n in node_names),
        "reads": reads / elapsed_s, "delay": delay_s}


TABLE_HEADER = (
    "| {} | cpu % of a core (max) | control messages/s | payload B/s | "
    "loopback B/s | connections | resident MiB (max) | platform reads/s | "
    "revision in force everywhere |\n|---|---|---|---|---|---|---|---|---|")


def print_row(size, row):
    print(f"| {size} | {row['cpu']:.2f} ({row['cpu_max']:.2f}) | "
          f"{row['messages']:.1f} | {row['payload']:.0f} | "
          f"{row['wire']:.0f} | {row['links']:.1f} | {row['rss']:.1f} "
          f"({row['rss_max']:.1f}) | {row['reads']:.2f} | "
          f"{row['delay']:.2f} s |", flush=True)


def main():
    selected = sys.argv[1:] or ["peers", "customers", "revisions"]
    if "peers" in selected:
        print(TABLE_HEADER.format("peers"))
        for peers in PEERS:
            with IdleMesh(peers, 10) as mesh:
                print_row(peers, measure_control_cost(mesh))
    if "customers" in selected:
        print(TABLE_HEADER.format("customers (8 peers)"))
        for customers in CUSTOMERS:
            with IdleMesh(8, customers) as mesh:
                print_row(customers, measure_control_cost(mesh))
    if "revisions" in selected:
        print(TABLE_HEADER.format(
            "revisions a second (8 peers, 100 customers)"))
        for rate in REVISIONS_PER_S:
            with IdleMesh(8, 100) as mesh:
                print_row(rate, measure_control_cost(mesh, rate))


if __name__ == "__main__":
    main()
