"""A faulty server spoils a few answers with an over-long trailer field.

Six machines serve requests that take 0.4 s. For 5 s, one of the six servers
ends one in fifty of its answers with a trailer field of 70,000 bytes. Counted
are requests from kept connections that a machine in touch has passed on to a
sound server, and whose connections ended without an answer.
"""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins

SERVICES = ("catalog", "enrolment")
ZONES = ("addis-a", "addis-b", "addis-c")
CLIENTS_PER_MACHINE = 16
ALLOWED = 3  # "more than three times"
SPOILED_SHARE = 0.02
SPOILED_FOR_S = 5.0
TRAILER_BYTES = 70_000


class FaultyServer(standins.Server):
    spoils = False
    answers = 0
    spoiled = 0

    def answer_bytes(self, status, headers, body):
        self.answers += 1
        if not self.spoils or self.answers % int(1 / SPOILED_SHARE):
            return super().answer_bytes(status, headers, body)
        self.spoiled += 1
        self.mesh.record(f"{self.instance} spoils {headers['X-Attempt-Id']}")
        lines = [f"HTTP/1.1 {status} Answer", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines).encode() + b"\r\n\r\n"
                + b"%x\r\n" % len(body) + body + b"\r\n0\r\n"
                + b"X-Trace: " + b"a" * TRAILER_BYTES + b"\r\n\r\n")


async def case(mesh):
    for zone in ZONES:
        for service in SERVICES:
            mesh.add_server(mesh.add_machine(zone, service), FaultyServer,
                            work_s=0.4)
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
    # Spread evenly over the time of a request.
    tasks = [asyncio.create_task(client.run(
        number % CLIENTS_PER_MACHINE * 0.45 / CLIENTS_PER_MACHINE))
        for number, client in enumerate(clients)]
    await asyncio.sleep(standins.CONTACT_S + 3)
    faulty = mesh.servers[0]
    if standins.trouble():
        mesh.record(f"{faulty.instance} begins to spoil answers")
        faulty.spoils = True
    await asyncio.sleep(SPOILED_FOR_S)
    faulty.spoils = False
    mesh.record("the disruption ends")
    await asyncio.sleep(3)
    for client in clients:
        client.running = False
    await asyncio.wait(tasks, timeout=6)
    return check(mesh, faulty)


def check(mesh, faulty):
    lost = collections.Counter()
    for request in mesh.sent:
        passed_on = any(run["server"] is not faulty
                        for run in mesh.runs.get(request.id, []))
        if request.kept and passed_on and request.outcome == "closed":
            lost[request.machine.name] += 1
    ends = {m.name: len(m.exits) for m in mesh.machines if m.exits}
    served = sum(request.status == 200 for request in mesh.sent)
    mesh.record.say(f"requests {len(mesh.sent)} served {served} "
                    f"spoiled {faulty.spoiled} of {faulty.answers} answers of "
                    f"{faulty.instance}; lost {dict(lost)} "
                    f"ends of processes {ends}")
    return [f"LOST {name}: {count} requests from kept connections were passed "
            "on to sound servers and ended without an answer"
            for name, count in sorted(lost.items()) if count > ALLOWED]


standins.run_case(case, pathlib.Path(__file__).resolve().parent)
