#!/usr/bin/env python3
"""Requests that must not repeat, under kills, pauses and drains; and how fast
a leaving node and a new revision take effect.

Callers present tickets and retry hard. Backend servers count runs by request.
usage: faults.py [SECONDS]  (default 180)
"""

import json
import random
import signal
import subprocess
import sys
import threading
import time

from mesh import Mesh, http

RATE = 600
SEED = 7


def contract():
    methods = [
        {"service": "a", "method": "POST", "path": "/buy",
         "class": "critical", "idempotent": False, "deadline_ms": 2000,
         "calls": ["b POST /buy"]},
        {"service": "b", "method": "POST", "path": "/buy", "entry": False,
         "class": "critical", "idempotent": False, "deadline_ms": 2000}]
    return {"customer": "acme", "requests_per_second": 20000,
            "retry_credits": 2, "caller_retry_ratio": 1, "methods": methods}


class Shop(Mesh):
    def __init__(self):
        super().__init__(["a:3:40:4000", "b:3:40:4000"], [contract()], {},
                         domains="d-1")
        for name, calls in (("a", ["b POST /buy"]), ("b", [])):
            script = {"POST /buy": {"work_ms": 5, "calls": calls}}
            (self.dir / f"script-{name}.jsonc").write_text(json.dumps(script))

    def spawn(self, key, arguments):
        if key.startswith("backend-"):
            service = key.split("-")[1]
            arguments = arguments[:-1] + [self.dir / f"script-{service}.jsonc"]
        super().spawn(key, arguments)

    def revisions(self):
        result = {}
        for name in self.settings:
            try:
                result[name] = self.status(name)["contracts_revision"]
            except OSError:
                pass
        return result


def plan(mesh):
    return {"customer": "acme", "retries": 4, "retry_delay_ms": 100,
            "deadline_ms": 2000, "kinds": [
                {"name": "buy", "rate": RATE, "method": "POST",
                 "target": "/buy", "nodes": mesh.callers("a")}]}


def disturb(mesh, until, counts):
    """Kills, pauses and drains nodes until a time."""
    chosen = random.Random(SEED)
    names = sorted(mesh.settings)
    while time.time() < until:
        time.sleep(chosen.uniform(0.5, 2.0))
        name = chosen.choice(names)
        process = mesh.processes["node-" + name]
        fault = chosen.choice(["kill", "pause", "drain"])
        counts[fault] = counts.get(fault, 0) + 1
        if fault == "pause":
            process.send_signal(signal.SIGSTOP)
            time.sleep(chosen.uniform(0.2, 4))
            process.send_signal(signal.SIGCONT)
            continue
        process.send_signal(
            signal.SIGKILL if fault == "kill" else signal.SIGTERM)
        code = process.wait()
        if fault == "drain":
            counts["drain not clean"] = (counts.get("drain not clean", 0)
                                         + (code != 0))
        mesh.start_node(name)


def run_faults(seconds):
    counts = {}
    with Shop() as mesh:
        until = time.time() + seconds
        thread = threading.Thread(target=disturb, args=(mesh, until, counts))
        thread.start()
        report = mesh.load(plan(mesh), seconds, prefix="f")[0]
        thread.join()
        time.sleep(3)
        repeated = sum(mesh.backend(n)["repeated"] for n in mesh.settings)
        started = mesh.started()
    print(f"faults: {counts}")
    print(f"requests {report['sent']}, attempts of callers "
          f"{report['attempts']}, completed {report['completed']}, not run "
          f"{report['not_run']}, unknown {report['unknown']}, failed "
          f"{report['failed']}, lost {report['lost']}")
    print(f"runs on backend servers {started}, requests run more than once "
          f"at a service: {repeated}")


def run_drain():
    """Time from SIGTERM to the last new call; calls cut."""
    with Shop() as mesh:
        out = []

        def load():
            out.append(mesh.load(plan(mesh), 8, prefix="d")[0])
        thread = threading.Thread(target=load)
        thread.start()
        time.sleep(3)
        process = mesh.processes["node-b-1"]
        before = time.time()
        process.send_signal(signal.SIGTERM)
        last, started = before, mesh.backend("b-1")["started"]
        while process.poll() is None:
            now = mesh.backend("b-1")["started"]
            if now != started:
                started, last = now, time.time()
            time.sleep(0.005)
        stop = time.time() - before
        thread.join()
        report = out[0]
    print(f"drain: last new call {1000 * (last - before):.0f} ms after "
          f"SIGTERM, exit {process.returncode} after {1000 * stop:.0f} ms; "
          f"of {report['sent']} requests {report['completed']} completed, "
          f"unknown {report['unknown']}, failed {report['failed']}, lost "
          f"{report['lost']}")


def run_configuration():
    """Time until a revision is in force, platform reachable and not."""
    with Shop() as mesh:
        def publish(rate):
            terms = dict(contract(), requests_per_second=rate)
            return int(http("PUT", f"http://127.0.0.1:{mesh.base}/admin/"
                                   "contracts/acme",
                            json.dumps(terms).encode()))

        def wait(revision):
            start = time.time()
            while time.time() - start < 30:
                if all(r >= revision for r in mesh.revisions().values()):
                    return time.time() - start
            return float("inf")
        print(f"revision in force everywhere: {wait(publish(1000)):.3f} s")
        state = f"http://127.0.0.1:{mesh.base}/admin/state"
        http("PUT", state + "?down=1")
        mesh.processes["node-a-2"].kill()
        mesh.processes["node-a-2"].wait()
        mesh.start_node("a-2")
        start = time.time()
        while mesh.revisions().get("a-2", 0) < 2:
            time.sleep(0.01)
            if time.time() - start > 8:
                break
        print("restarted with the platform down, no seeds: revision "
              f"{mesh.revisions().get('a-2')} after "
              f"{time.time() - start:.2f} s (its peers' heartbeats)")
        revision = publish(2000)
        time.sleep(2)
        http("PUT", state + "?down=0")
        print("revision published while down, in force after the return: "
              f"{wait(revision):.3f} s")


def main():
    run_drain()
    run_configuration()
    run_faults(float(sys.argv[1]) if len(sys.argv) > 1 else 180)


if __name__ == "__main__":
    main()
