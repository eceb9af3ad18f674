#!/usr/bin/env python3
"""Counts duplicate executions while nodes are killed, paused and drained.

Also measures how fast a drain and a new revision take effect. The requests
are not idempotent; callers send tickets and retry up to 4 times. Backend
servers count the executions of each request.
usage: faults.py [SECONDS]  (default 180)
"""

import json
import random
import signal
import subprocess
import sys
import threading
import time

from mesh import Mesh, send_http

REQUESTS_PER_S = 600
SEED = 7


def make_contract():
    methods = [
        {"service": "a", "method": "POST", "path": "/buy",
         "class": "critical", "idempotent": False, "deadline_ms": 2000,
         "calls": ["b POST /buy"]},
        {"service": "b", "method": "POST", "path": "/buy", "entry": False,
         "class": "critical", "idempotent": False, "deadline_ms": 2000}]
    return {"customer": "acme", "requests_per_second": 20000,
            "retry_credits": 2, "caller_retry_ratio": 1, "methods": methods}


class PurchaseMesh(Mesh):
    def __init__(self):
        super().__init__(["a:3:40:4000", "b:3:40:4000"], [make_contract()], {},
                         domains="d-1")
        for name, calls in (("a", ["b POST /buy"]), ("b", [])):
            script = {"POST /buy": {"work_ms": 5, "calls": calls}}
            (self.directory / f"script-{name}.jsonc").write_text(
                json.dumps(script))

    def start_process(self, process_name, arguments):
        if process_name.startswith("backend-"):
            service = process_name.split("-")[1]
            arguments = arguments[:-1] + [
                self.directory / f"script-{service}.jsonc"]
        super().start_process(process_name, arguments)

    def contract_revisions(self):
        revisions = {}
        for name in self.settings:
            try:
                revisions[name] = self.read_status(name)["contracts_revision"]
            except OSError:
                pass
        return revisions


def make_load_plan(mesh):
    return {"customer": "acme", "retries": 4, "retry_delay_ms": 100,
            "deadline_ms": 2000, "kinds": [
                {"name": "buy", "rate": REQUESTS_PER_S, "method": "POST",
                 "target": "/buy", "nodes": mesh.caller_addresses("a")}]}


def inject_faults(mesh, until, counts):
    """Kills, pauses and drains nodes at random until a point in time."""
    generator = random.Random(SEED)
    names = sorted(mesh.settings)
    while time.time() < until:
        time.sleep(generator.uniform(0.5, 2.0))
        name = generator.choice(names)
        process = mesh.processes["node-" + name]
        fault = generator.choice(["kill", "pause", "drain"])
        counts[fault] = counts.get(fault, 0) + 1
        if fault == "pause":
            process.send_signal(signal.SIGSTOP)
            time.sleep(generator.uniform(0.2, 4))
            process.send_signal(signal.SIGCONT)
            continue
        process.send_signal(
            signal.SIGKILL if fault == "kill" else signal.SIGTERM)
        exit_code = process.wait()
        if fault == "drain":
            counts["drain not clean"] = (counts.get("drain not clean", 0)
                                         + (exit_code != 0))
        mesh.start_node(name)


def run_faults(seconds):
    counts = {}
    with PurchaseMesh() as mesh:
        until = time.time() + seconds
        thread = threading.Thread(target=inject_faults,
                                  args=(mesh, until, counts))
        thread.start()
        report = mesh.run_load(make_load_plan(mesh), seconds, prefix="f")[0]
        thread.join()
        time.sleep(3)
        repeated = sum(mesh.read_backend_counters(n)["repeated"]
                       for n in mesh.settings)
        started = mesh.count_started()
    print(f"faults: {counts}")
    print(f"requests {report['sent']}, attempts by callers "
          f"{report['attempts']}, completed {report['completed']}, not run "
          f"{report['not_run']}, unknown {report['unknown']}, failed "
          f"{report['failed']}, lost {report['lost']}")
    print(f"executions on backend servers {started}, requests executed "
          f"more than once by a service: {repeated}")


def measure_drain():
    """Measures how long a drained node takes new calls, and the lost calls."""
    with PurchaseMesh() as mesh:
        reports = []

        def run_load():
            reports.append(
                mesh.run_load(make_load_plan(mesh), 8, prefix="d")[0])
        thread = threading.Thread(target=run_load)
        thread.start()
        time.sleep(3)
        process = mesh.processes["node-b-1"]
        before = time.time()
        process.send_signal(signal.SIGTERM)
        last_call, started = \
            before, mesh.read_backend_counters("b-1")["started"]
        while process.poll() is None:
            current = mesh.read_backend_counters("b-1")["started"]
            if current != started:
                started, last_call = current, time.time()
            time.sleep(0.005)
        exit_s = time.time() - before
        thread.join()
        report = reports[0]
    print(f"drain: last new call {1000 * (last_call - before):.0f} ms after "
          f"SIGTERM, exit {process.returncode} after {1000 * exit_s:.0f} ms; "
          f"of {report['sent']} requests {report['completed']} completed, "
          f"unknown {report['unknown']}, failed {report['failed']}, lost "
          f"{report['lost']}")


def measure_configuration():
    """Measures the time until a published revision is in force on all nodes.

    The platform is reachable for the first revision. It is then unreachable
    while a node restarts and the second revision is published.
    """
    with PurchaseMesh() as mesh:
        def publish_contract(rate):
            contract = dict(make_contract(), requests_per_second=rate)
            return int(send_http(
                "PUT", f"http://127.0.0.1:{mesh.base_port}/admin/"
                       "contracts/acme",
                json.dumps(contract).encode()))

        def wait_for_revision(revision):
            start = time.time()
            while time.time() - start < 30:
                if all(r >= revision
                       for r in mesh.contract_revisions().values()):
                    return time.time() - start
            return float("inf")
        print("revision in force everywhere: "
              f"{wait_for_revision(publish_contract(1000)):.3f} s")
        state_url = f"http://127.0.0.1:{mesh.base_port}/admin/state"
        send_http("PUT", state_url + "?down=1")
        mesh.processes["node-a-2"].kill()
        mesh.processes["node-a-2"].wait()
        mesh.start_node("a-2")
        start = time.time()
        while mesh.contract_revisions().get("a-2", 0) < 2:
            time.sleep(0.01)
            if time.time() - start > 8:
                break
        print("restarted with the platform down, no seeds: revision "
              f"{mesh.contract_revisions().get('a-2')} after "
              f"{time.time() - start:.2f} s (its peers' heartbeats)")
        revision = publish_contract(2000)
        time.sleep(2)
        send_http("PUT", state_url + "?down=0")
        print("revision published while down, in force after the return: "
              f"{wait_for_revision(revision):.3f} s")


def main():
    measure_drain()
    measure_configuration()
    run_faults(float(sys.argv[1]) if len(sys.argv) > 1 else 180)


if __name__ == "__main__":
    main()
