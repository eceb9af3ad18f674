"""A server restarts under its id after its clock was set back, then drains.

A server ends twice within two seconds and starts again under the id that it
had. In between, the time of day of its machine jumps back by 2.4 s, and six
seconds later it jumps back again. Later the server reports that it drains.
Counted are requests that reach it later than `drainMs` after the store has
confirmed the report.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins

SERVICES = ("catalog", "enrolment")
ZONES = ("addis-a", "addis-b", "addis-c")
CLIENTS_PER_MACHINE = 4
STEP_S = 2.4
STEP_FOR_S = 6.0
SERVES_ON_S = 6.0  # after its report


async def restart(server, clock_offset_s):
    server.stop()
    await asyncio.sleep(0.3)
    server.born = int((time.time() + clock_offset_s) * 1000)
    server.sequence = 0
    await server.start()
    server.mesh.record(f"{server.instance} starts again, born={server.born}")


async def case(mesh):
    for zone in ZONES:
        for service in SERVICES:
            mesh.add_server(mesh.add_machine(zone, service), work_s=0.1)
    await mesh.start(standins.configuration(1, [
        standins.route("module-view", "catalog.example", "/view/", "catalog"),
        standins.route("enrol-pay", "enrolment.example", "/pay/", "enrolment",
                       kind="non_idempotent")], SERVICES))
    clients = []
    for machine in mesh.machines:
        for number in range(CLIENTS_PER_MACHINE):
            clients.append(
                standins.Client(mesh, machine, "POST", "enrolment.example",
                                "/pay/1", b"fee")
                if number % 2 else
                standins.Client(mesh, machine, "GET", "catalog.example",
                                "/view/1"))
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(4)
    server = mesh.servers[1]
    await restart(server, 0)
    await asyncio.sleep(1.2)
    offset = -STEP_S if standins.trouble() else 0
    mesh.record(f"clock of {server.machine.name} steps by {offset} s")
    await restart(server, offset)
    # The clock is right again after STEP_FOR_S, and all machines are in touch
    # CONTACT_S later.
    await asyncio.sleep(STEP_FOR_S + standins.CONTACT_S + 0.5)
    server.state = "draining"
    server.publish()
    confirmed = time.monotonic()
    mesh.record(f"{server.instance} reports draining, confirmed")
    await asyncio.sleep(SERVES_ON_S)
    limit = confirmed + standins.BOUNDS["drainMs"] / 1000
    late = [(run["at"] - confirmed, request_id)
            for request_id, runs in mesh.runs.items() for run in runs
            if run["server"] is server and run["at"] > limit]
    server.stop()
    mesh.store.delete("servers/" + server.instance)
    mesh.record(f"{server.instance} has ended")
    await asyncio.sleep(0.5)
    for client in clients:
        client.running = False
    await asyncio.wait(tasks, timeout=6)
    at_end = [r for r in mesh.sent if r.status == 502
              and r.ended > confirmed + SERVES_ON_S]
    mesh.record.say(f"requests {len(mesh.sent)}, {len(late)} reached "
                    f"{server.instance} later than drainMs, {len(at_end)} were "
                    "cut at its end")
    return [f"DRAIN {request_id} reached {server.instance} {after:.2f} s after "
            "the confirmation" for after, request_id in late]


standins.run_case(case, pathlib.Path(__file__).resolve().parent)
