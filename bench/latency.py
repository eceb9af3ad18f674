#!/usr/bin/env python3
"""Measures the latency that two nodes add to a call.

Sends 350 calls a second to a backend server, which calls a second one for
each of them. Rounds in which both are reached directly alternate with rounds
in which both are reached through their nodes. The rows named pass-through
show nodes without protection.
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
        through_address, direct_address = \
            mesh.address("a-1", "caller"), "127.0.0.1:24999"
        mesh.run_load(make_load_plan(through_address), 2, prefix="warm")
        mesh.run_load(make_load_plan(direct_address), 2, prefix="warm2")
        rows = []
        before = {n: mesh.cpu_seconds(n) for n in mesh.settings}
        for i in range(ROUNDS):
            direct = mesh.run_load(make_load_plan(direct_address), seconds,
                                   seed=i, prefix=f"d{i}")[0]
            through = mesh.run_load(make_load_plan(through_address), seconds,
                                    seed=i, prefix=f"t{i}")[0]
            rows.append((direct, through))
        cpu = {n: mesh.cpu_seconds(n) - before[n] for n in mesh.settings}
        for direct, through in rows:
            print(f"| {name} | {direct['p50_ms']:.3f} | "
                  f"{through['p50_ms']:.3f} | "
                  f"{through['p50_ms'] - direct['p50_ms']:.3f} | "
                  f"{direct['p99_ms']:.3f} | {through['p99_ms']:.3f} | "
                  f"{through['p99_ms'] - direct['p99_ms']:.3f} |")
        calls = sum(through["completed"] for _, through in rows)
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
