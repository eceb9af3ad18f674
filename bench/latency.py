#!/usr/bin/env python3
"""Measures the latency that two nodes add to a call.

Sends 350 calls a second, which each node handles, to two backend servers:
alternately directly and through their nodes, several times. The rows named
pass-through show nodes without protection.
usage: latency.py [SECONDS]
"""

import json
import sys

from mesh import BUILD_DIR, Mesh

CALLS_PER_S = 350
ROUNDS = 3


def make_contract():
    methods = [{"service": s, "method": "GET", "path": "/" + s,
                "class": "normal", "idempotent": True, "entry": s == "a",
                "deadline_ms": 1000} for s in ("a", "b")]
    return {"customer": "acme", "requests_per_second": 20000,
            "methods": methods}


class NodePair(Mesh):
    def __init__(self, extra_settings):
        script = {"GET /a": {"work_ms": 0, "calls": ["b GET /b"]},
                  "GET /b": {"work_ms": 0}}
        super().__init__(["a:1:200:4000", "b:1:200:4000"], [make_contract()],
                         script, domains="d-1", extra_settings=extra_settings)

    def start_direct_backend(self):
        """Starts a second server of service a, which calls b directly."""
        options = dict(self.settings["a-1"])
        options["outbound_address"] = self.address("b-1", "backend")
        options["backend_address"] = "127.0.0.1:24999"
        path = self.directory / "direct.jsonc"
        path.write_text(json.dumps(options))
        self.start_process(
            "direct", [BUILD_DIR / "examples" / "backend_standin", path,
                       self.directory / "script.jsonc"])


def make_load_plan(address):
    return {"customer": "acme", "deadline_ms": 1000, "kinds": [
        {"name": "get", "rate": CALLS_PER_S, "target": "/a",
         "nodes": [address]}]}


def measure_latency(name, extra_settings, seconds):
    with NodePair(extra_settings) as mesh:
        mesh.start_direct_backend()
        through, direct = mesh.address("a-1", "caller"), "127.0.0.1:24999"
        mesh.run_load(make_load_plan(through), 2, prefix="warm")
        mesh.run_load(make_load_plan(direct), 2, prefix="warm2")
        rows = []
        before = {n: mesh.cpu_seconds(n) for n in mesh.settings}
        for i in range(ROUNDS):
            d = mesh.run_load(make_load_plan(direct), seconds, seed=i,
                              prefix=f"d{i}")[0]
            t = mesh.run_load(make_load_plan(through), seconds, seed=i,
                              prefix=f"t{i}")[0]
            rows.append((d, t))
        cpu = {n: mesh.cpu_seconds(n) - before[n] for n in mesh.settings}
        for d, t in rows:
            print(f"| {name} | {d['p50_ms']:.3f} | {t['p50_ms']:.3f} | "
                  f"{t['p50_ms'] - d['p50_ms']:.3f} | {d['p99_ms']:.3f} | "
                  f"{t['p99_ms']:.3f} | {t['p99_ms'] - d['p99_ms']:.3f} |")
        calls = sum(t["completed"] for _, t in rows)
        for n in sorted(cpu):
            print(f"  node {n}: {1e6 * cpu[n] / calls:.0f} us of processor "
                  f"time a call, {mesh.rss_mib(n):.1f} MiB resident")


def main():
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5
    print("| node | direct p50 ms | through p50 | added p50 | direct p99 | "
          "through p99 | added p99 |\n|---|---|---|---|---|---|---|")
    measure_latency("this build", "", seconds)
    measure_latency("pass-through", '"protection": false,', seconds)


if __name__ == "__main__":
    main()
