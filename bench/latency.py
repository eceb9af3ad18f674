#!/usr/bin/env python3
"""Latency that two nodes add to a call, at 350 calls a second a node.

The same two backend servers are called directly and through their nodes, in
turn, several times; the second table row is the node passing calls through.
usage: latency.py [SECONDS]
"""

import json
import sys

from mesh import BUILD, Mesh

RATE = 350
ROUNDS = 3


def contract():
    methods = [{"service": s, "method": "GET", "path": "/" + s,
                "class": "normal", "idempotent": True, "entry": s == "a",
                "deadline_ms": 1000} for s in ("a", "b")]
    return {"customer": "acme", "requests_per_second": 20000,
            "methods": methods}


class Pair(Mesh):
    def __init__(self, extra):
        script = {"GET /a": {"work_ms": 0, "calls": ["b GET /b"]},
                  "GET /b": {"work_ms": 0}}
        super().__init__(["a:1:200:4000", "b:1:200:4000"], [contract()],
                         script, domains="d-1", extra=extra)

    def start_direct(self):
        """A second backend server a, whose calls go to b without a node."""
        options = dict(self.settings["a-1"])
        options["outbound_address"] = self.address("b-1", "backend")
        options["backend_address"] = "127.0.0.1:24999"
        path = self.dir / "direct.jsonc"
        path.write_text(json.dumps(options))
        self.spawn("direct", [BUILD / "examples" / "backend_standin", path,
                              self.dir / "script.jsonc"])


def plan(address):
    return {"customer": "acme", "deadline_ms": 1000, "kinds": [
        {"name": "get", "rate": RATE, "target": "/a", "nodes": [address]}]}


def run(name, extra, seconds):
    with Pair(extra) as mesh:
        mesh.start_direct()
        through, direct = mesh.address("a-1", "caller"), "127.0.0.1:24999"
        mesh.load(plan(through), 2, prefix="warm")
        mesh.load(plan(direct), 2, prefix="warm2")
        rows = []
        before = {n: mesh.cpu_seconds(n) for n in mesh.settings}
        for i in range(ROUNDS):
            d = mesh.load(plan(direct), seconds, seed=i, prefix=f"d{i}")[0]
            t = mesh.load(plan(through), seconds, seed=i, prefix=f"t{i}")[0]
            rows.append((d, t))
        cpu = {n: mesh.cpu_seconds(n) - before[n] for n in mesh.settings}
        for d, t in rows:
            print(f"| {name} | {d['p50_ms']:.3f} | {t['p50_ms']:.3f} | "
                  f"{t['p50_ms'] - d['p50_ms']:.3f} | {d['p99_ms']:.3f} | "
                  f"{t['p99_ms']:.3f} | {t['p99_ms'] - d['p99_ms']:.3f} |")
        calls = sum(t["completed"] for _, t in rows)
        for n in sorted(cpu):
            print(f"  node {n}: {1e6 * cpu[n] / calls:.0f} us of processor "
                  f"time a call, {mesh.rss_mb(n):.1f} MB resident")


def main():
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5
    print("| node | direct p50 ms | through p50 | added p50 | direct p99 | "
          "through p99 | added p99 |\n|---|---|---|---|---|---|---|")
    run("this build", "", seconds)
    run("pass-through", '"protection": false,', seconds)


if __name__ == "__main__":
    main()
