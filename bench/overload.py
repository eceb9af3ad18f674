#!/usr/bin/env python3
"""Measures goodput, wasted executions and recovery under overload.

A request passes through four services, each of which calls the next one.
Compares this build with the same nodes without protection, which pass every
call through.
usage: overload.py [goodput] [recovery] (default: both)
Environment: SECONDS_EACH (default 6), LOADS (default 1,2,5,10).
"""

import json
import os
import subprocess
import sys
import time

from mesh import Mesh, ROOT
import plot

# Requests that all four services can complete. The last service, d, sets the
# limit: 2 instances with 4 slots each take 40 ms for a request.
CAPACITY_PER_S = 200
LOAD_DURATION_S = float(os.environ.get("SECONDS_EACH", "6"))
LOAD_FACTORS = [
    float(x) for x in os.environ.get("LOADS", "1,2,5,10").split(",")]
SERVICES = ["a:2:40:4000", "b:2:40:4000", "c:2:40:4000", "d:2:4:4000"]
KIND_SHARES = {"buy": 0.08, "read": 0.22, "browse": 0.70}
KIND_CLASSES = {"buy": "critical", "read": "normal", "browse": "sheddable"}
SERVICE_COUNT = len(SERVICES)


def make_method(service, kind, entry, callee):
    http_method = "POST" if kind == "buy" else "GET"
    method = {"service": service, "method": http_method, "path": "/" + kind,
              "class": KIND_CLASSES[kind], "idempotent": kind != "buy",
              "entry": entry, "deadline_ms": 1000}
    if callee:
        method["calls"] = [f"{callee} {http_method} /{kind}"]
    return method


def make_contract():
    names = [spec.split(":")[0] for spec in SERVICES]
    methods = []
    for kind in KIND_SHARES:
        http_method = "POST" if kind == "buy" else "GET"
        for i, name in enumerate(names):
            callee = names[i + 1] if i + 1 < len(names) else None
            methods.append(make_method(name, kind, i == 0, callee))
    contract = {"customer": "acme", "requests_per_second": 20000,
                "retry_credits": 2, "caller_retry_ratio": 1,
                "methods": methods}
    return contract, names


class ChainMesh(Mesh):
    def __init__(self, protection):
        contract, names = make_contract()
        extra_settings = "" if protection else '"protection": false,'
        super().__init__(SERVICES, [contract], {},
                         extra_settings=extra_settings)
        # The script of a backend server depends on its service.
        for i, name in enumerate(names):
            callee = names[i + 1] if i + 1 < len(names) else None
            work_ms = 40 if callee is None else 2
            script = {}
            for kind in KIND_SHARES:
                http_method = "POST" if kind == "buy" else "GET"
                calls = [f"{callee} {http_method} /{kind}"] if callee else []
                script[f"{http_method} /{kind}"] = {"work_ms": work_ms,
                                                    "calls": calls}
            (self.directory / f"script-{name}.jsonc").write_text(
                json.dumps(script))

    def start_process(self, process_name, arguments):
        if process_name.startswith("backend-"):
            service = process_name[len("backend-"):].rsplit("-", 1)[0]
            arguments = arguments[:-1] + [
                self.directory / f"script-{service}.jsonc"]
        super().start_process(process_name, arguments)


def make_load_plan(mesh, requests_per_s):
    return {"customer": "acme", "retries": 3, "retry_delay_ms": 50,
            "deadline_ms": 1000,
            "kinds": [{"name": kind, "rate": requests_per_s * share,
                       "method": "POST" if kind == "buy" else "GET",
                       "target": "/" + kind,
                       "nodes": mesh.caller_addresses("a")}
                      for kind, share in KIND_SHARES.items()]}


def measure_goodput(protection):
    rows = []
    for factor in LOAD_FACTORS:
        with ChainMesh(protection) as mesh:
            mesh.run_load(make_load_plan(mesh, CAPACITY_PER_S / 2), 2,
                          prefix="warm")
            before = mesh.count_started()
            reports = mesh.run_load(
                make_load_plan(mesh, CAPACITY_PER_S * factor),
                LOAD_DURATION_S, prefix="run")
            time.sleep(1.2)
            started = mesh.count_started() - before
            repeated = sum(mesh.read_backend_counters(n)["repeated"]
                           for n in mesh.settings)
            by_kind = {r["name"]: r for r in reports}
            completed = sum(r["completed"] for r in reports)
            rows.append({
                "load": factor,
                "goodput": completed / LOAD_DURATION_S,
                "kinds": {k: by_kind[k]["completed"] / by_kind[k]["sent"]
                          for k in KIND_SHARES},
                "p99": {k: by_kind[k]["p99_ms"] for k in KIND_SHARES},
                "wasted": max(
                    0, started - SERVICE_COUNT * completed) / started,
                "repeated": repeated,
                "lost": sum(r["lost"] for r in reports)})
            print_row("this build" if protection else "pass-through",
                      rows[-1])
    return rows


def print_row(name, row):
    print(f"| {name:12} | {row['load']:4.0f}x | {row['goodput']:7.0f} | "
          f"{100 * row['goodput'] / CAPACITY_PER_S:5.1f} | "
          f"{' | '.join(f'{100 * v:5.1f}' for v in row['kinds'].values())} | "
          f"{100 * row['wasted']:5.1f} | {row['repeated']:3d} | "
          f"{row['p99']['buy']:6.0f} |", flush=True)


def measure_recovery(protection):
    """Measures goodput while service d is 5 times slower for 10 s.

    The load is 0.9 of the capacity. Returns the number of completed requests
    in each slice of 0.1 s.
    """
    with ChainMesh(protection) as mesh:
        mesh.run_load(make_load_plan(mesh, CAPACITY_PER_S / 2), 2,
                      prefix="warm")
        total_s = 30
        command = mesh.load_command(
            make_load_plan(mesh, CAPACITY_PER_S * 0.9), total_s, prefix="run")
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        start = time.time()
        time.sleep(5)
        mesh.set_slowdown("d", 5)
        slow_start_s = time.time() - start
        time.sleep(10 - 0.05)
        mesh.set_slowdown("d", 1)
        slow_end_s = time.time() - start
        reports = json.loads(process.communicate()[0])
    slices = [0] * (total_s * 10 + 60)
    for report in reports:
        for i, count in enumerate(report["completed_by_slice"]):
            slices[i] += count
    before = sum(slices[20:int(slow_start_s * 10)]) / (
        int(slow_start_s * 10) - 20)
    during = sum(slices[int(slow_start_s * 10) + 10:int(slow_end_s * 10)]) / 90
    recovery_s = None
    first = int(slow_end_s * 10)
    for i in range(first, total_s * 10 - 5):
        if sum(slices[i:i + 5]) / 5 >= 0.95 * before:
            recovery_s = i / 10 - slow_end_s
            break
    name = "this build" if protection else "pass-through"
    text = "never" if recovery_s is None else f"{max(0, recovery_s):.1f} s"
    print(f"| {name:12} | {before * 10:7.0f} | {during * 10:7.0f} | {text} |",
          flush=True)
    return slices[:total_s * 10]


def main():
    selected = sys.argv[1:] or ["goodput", "recovery"]
    series = {}
    if "goodput" in selected:
        print("| node | load | goodput/s | % of capacity | buy % | read % | "
              "browse % | wasted % | repeated | p99 buy ms |")
        print("|---|---|---|---|---|---|---|---|---|---|")
        for protection in (True, False):
            rows = measure_goodput(protection)
            name = "this build" if protection else "pass-through"
            series[name] = [(r["load"], r["goodput"]) for r in rows]
        plot.write_line_chart(
            ROOT / "docs" / "plots" / "goodput.svg",
            "Whole requests completed per second over offered load",
            "offered load / capacity", "requests/s", series)
    if "recovery" in selected:
        print("\n| node | goodput/s before | while slowed | back at 95 % |")
        print("|---|---|---|---|")
        series = {}
        for protection in (True, False):
            name = "this build" if protection else "pass-through"
            slices = measure_recovery(protection)
            series[name] = [(i / 10, v * 10) for i, v in enumerate(slices)]
        plot.write_line_chart(
            ROOT / "docs" / "plots" / "recovery.svg",
            "Goodput over time; service d slowed 5x from 5 s to 15 s",
            "seconds", "requests/s", series)


if __name__ == "__main__":
    main()
