#!/usr/bin/env python3
"""Goodput, wasted work and recovery of a chain of four services under load.

Prints, side by side, this build and the same nodes passing every call
through. usage: overload.py [goodput] [recovery] (default: both)
Environment: SECONDS_EACH (default 6), LOADS (default 1,2,5,10).
"""

import json
import os
import subprocess
import sys
import time

from mesh import Mesh, ROOT
import plot

CAPACITY = 200  # whole requests a second: 2 instances, 4 slots, 40 ms
SECONDS = float(os.environ.get("SECONDS_EACH", "6"))
LOADS = [float(x) for x in os.environ.get("LOADS", "1,2,5,10").split(",")]
SERVICES = ["a:2:40:4000", "b:2:40:4000", "c:2:40:4000", "d:2:4:4000"]
SHARES = {"buy": 0.08, "read": 0.22, "browse": 0.70}
CLASSES = {"buy": "critical", "read": "normal", "browse": "sheddable"}
DEPTH = len(SERVICES)


def method(service, kind, entry, callee):
    verb = "POST" if kind == "buy" else "GET"
    rule = {"service": service, "method": verb, "path": "/" + kind,
            "class": CLASSES[kind], "idempotent": kind != "buy",
            "entry": entry, "deadline_ms": 1000}
    if callee:
        rule["calls"] = [f"{callee} {verb} /{kind}"]
    return rule


def deployment():
    names = [spec.split(":")[0] for spec in SERVICES]
    methods = []
    for kind in SHARES:
        verb = "POST" if kind == "buy" else "GET"
        for i, name in enumerate(names):
            callee = names[i + 1] if i + 1 < len(names) else None
            methods.append(method(name, kind, i == 0, callee))
    terms = {"customer": "acme", "requests_per_second": 20000,
             "retry_credits": 2, "caller_retry_ratio": 1,
             "methods": methods}
    return terms, names


class Chain(Mesh):
    def __init__(self, protection):
        terms, names = deployment()
        extra = "" if protection else '"protection": false,'
        super().__init__(SERVICES, [terms], {}, extra=extra)
        # Every backend server runs its own script.
        for i, name in enumerate(names):
            callee = names[i + 1] if i + 1 < len(names) else None
            work = 40 if callee is None else 2
            entry = {}
            for kind in SHARES:
                verb = "POST" if kind == "buy" else "GET"
                calls = [f"{callee} {verb} /{kind}"] if callee else []
                entry[f"{verb} /{kind}"] = {"work_ms": work, "calls": calls}
            (self.dir / f"script-{name}.jsonc").write_text(json.dumps(entry))

    def spawn(self, key, arguments):
        if key.startswith("backend-"):
            service = key[len("backend-"):].rsplit("-", 1)[0]
            arguments = arguments[:-1] + [self.dir / f"script-{service}.jsonc"]
        super().spawn(key, arguments)


def plan(mesh, total):
    return {"customer": "acme", "retries": 3, "retry_delay_ms": 50,
            "deadline_ms": 1000,
            "kinds": [{"name": kind, "rate": total * share,
                       "method": "POST" if kind == "buy" else "GET",
                       "target": "/" + kind, "nodes": mesh.callers("a")}
                      for kind, share in SHARES.items()]}


def goodput(protection):
    rows = []
    for factor in LOADS:
        with Chain(protection) as mesh:
            mesh.load(plan(mesh, CAPACITY / 2), 2, prefix="warm")
            before = mesh.started()
            reports = mesh.load(plan(mesh, CAPACITY * factor), SECONDS,
                                prefix="run")
            time.sleep(1.2)
            started = mesh.started() - before
            repeated = sum(mesh.backend(n)["repeated"] for n in mesh.settings)
            by_kind = {r["name"]: r for r in reports}
            completed = sum(r["completed"] for r in reports)
            rows.append({
                "load": factor,
                "goodput": completed / SECONDS,
                "kinds": {k: by_kind[k]["completed"] / by_kind[k]["sent"]
                          for k in SHARES},
                "p99": {k: by_kind[k]["p99_ms"] for k in SHARES},
                "wasted": max(0, started - DEPTH * completed) / started,
                "repeated": repeated,
                "lost": sum(r["lost"] for r in reports)})
            print_row("this build" if protection else "pass-through",
                      rows[-1])
    return rows


def print_row(name, row):
    print(f"| {name:12} | {row['load']:4.0f}x | {row['goodput']:7.0f} | "
          f"{100 * row['goodput'] / CAPACITY:5.1f} | "
          f"{' | '.join(f'{100 * v:5.1f}' for v in row['kinds'].values())} | "
          f"{100 * row['wasted']:5.1f} | {row['repeated']:3d} | "
          f"{row['p99']['buy']:6.0f} |", flush=True)


def recovery(protection):
    """Slows service d five times for ten seconds of a load of 0.9."""
    with Chain(protection) as mesh:
        mesh.load(plan(mesh, CAPACITY / 2), 2, prefix="warm")
        total = 30
        command = mesh.load_command(plan(mesh, CAPACITY * 0.9), total,
                                    prefix="run")
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        start = time.time()
        time.sleep(5)
        mesh.slow("d", 5)
        slow_at = time.time() - start
        time.sleep(10 - 0.05)
        mesh.slow("d", 1)
        end_at = time.time() - start
        reports = json.loads(process.communicate()[0])
    slices = [0] * (total * 10 + 60)
    for report in reports:
        for i, count in enumerate(report["completed_by_slice"]):
            slices[i] += count
    base = sum(slices[20:int(slow_at * 10)]) / (int(slow_at * 10) - 20)
    during = sum(slices[int(slow_at * 10) + 10:int(end_at * 10)]) / 90
    recovered = None
    first = int(end_at * 10)
    for i in range(first, total * 10 - 5):
        if sum(slices[i:i + 5]) / 5 >= 0.95 * base:
            recovered = i / 10 - end_at
            break
    name = "this build" if protection else "pass-through"
    text = "never" if recovered is None else f"{max(0, recovered):.1f} s"
    print(f"| {name:12} | {base * 10:7.0f} | {during * 10:7.0f} | {text} |",
          flush=True)
    return slices[:total * 10]


def main():
    wanted = sys.argv[1:] or ["goodput", "recovery"]
    series = {}
    if "goodput" in wanted:
        print("| node | load | goodput/s | % of capacity | buy % | read % | "
              "browse % | wasted % | repeated | p99 buy ms |")
        print("|---|---|---|---|---|---|---|---|---|---|")
        for protection in (True, False):
            rows = goodput(protection)
            name = "this build" if protection else "pass-through"
            series[name] = [(r["load"], r["goodput"]) for r in rows]
        plot.lines(ROOT / "docs" / "plots" / "goodput.svg",
                   "Whole requests completed per second over offered load",
                   "offered load / capacity", "requests/s", series)
    if "recovery" in wanted:
        print("\n| node | goodput/s before | while slowed | back at 95 % |")
        print("|---|---|---|---|")
        series = {}
        for protection in (True, False):
            name = "this build" if protection else "pass-through"
            slices = recovery(protection)
            series[name] = [(i / 10, v * 10) for i, v in enumerate(slices)]
        plot.lines(ROOT / "docs" / "plots" / "recovery.svg",
                   "Goodput over time; service d slowed 5x from 5 s to 15 s",
                   "seconds", "requests/s", series)


if __name__ == "__main__":
    main()
