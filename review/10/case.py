"""Machines that were cut off use upstreams that have left, once in touch."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from review.lab import lab, link  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
DRAIN_S = 2.0
CONTACT_S = 3.0
CUT_S = 5.5
LEAVES_AT_S = 2.0  # from the begin of the cut
ROUNDS = 6
ROUTES = [
    ["view", "shop.example", "/view/", "idempotent", 800, 1500, 2, None, 2,
     "enrolment"],
    ["pay", "shop.example", "/pay/", "non_idempotent", 1000, 1500, 0, None, 2,
     "enrolment"],
]
LAYOUT = [("enrolment", "a"), ("enrolment", "a"), ("enrolment", "a"),
          ("enrolment", "a"), ("catalog", "a"), ("enrolment", "b"),
          ("catalog", "b"), ("enrolment", "c")]
CUT_MACHINES = 2


class LinkedMachine(lab.Machine):
    """A machine whose links to the store and from other nodes can be cut."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        octet = self.lab.network
        self.node_call = (f"127.{octet}.1.{10 + self.number}",
                          lab.PORTS["call"])
        self.own_store = (f"127.{octet}.2.{10 + self.number}", 8309)
        self.links = [link.Link(self.address("call"), self.node_call),
                      link.Link(self.own_store, self.lab.store_address)]

    def store_address(self):
        return self.own_store

    def settings(self):
        return {**super().settings(),
                "call_listen_address": "%s:%d" % self.node_call}

    def start(self):
        if self.first_start:
            for item in self.links:
                item.start()
        super().start()

    def log_text(self):
        path = self.lab.directory / f"{self.name}.log"
        return path.read_text(errors="replace")

    def reads_for_others(self):
        """Tells whether the node reads the store for others; where a machine
        is cut off is the drawn part of a day."""
        roles = [part.split()[0] for part in
                 self.log_text().split("event=discovery_reader role=")[1:]]
        return not roles or roles[-1] != "subscriber"


async def cut_off(site, machine):
    site.record.add(f"{machine.name}: cut off")
    machine.cut_off = True
    await asyncio.gather(*[item.begin_cut() for item in machine.links])


def join(site, machine):
    for item in machine.links:
        item.end_cut()
    machine.cut_off = False
    site.record.add(f"{machine.name}: joined again")


async def play_round(site, machines):
    """Returns what reached the upstreams that had left, too late."""
    if TROUBLE != "0":
        cuts = [asyncio.create_task(cut_off(site, m)) for m in machines]
    began_at = time.monotonic()
    await asyncio.sleep(LEAVES_AT_S)
    left = [site.upstreams[m] for m in machines]
    for upstream in left:
        upstream.stop_reporting()
        site.store.remove_instance("servers/" + upstream.id, "it leaves")
    left_at = time.monotonic()
    await asyncio.sleep(began_at + CUT_S - time.monotonic())
    if TROUBLE != "0":
        await asyncio.gather(*cuts)
        for machine in machines:
            join(site, machine)
    joined_at = time.monotonic()
    await asyncio.sleep(CONTACT_S + 2)
    since = max(joined_at + CONTACT_S, left_at + DRAIN_S)
    late = [run for upstream in left for run in upstream.runs
            if run[1] > since and run[0] in site.sent
            and site.sent[run[0]].at > since]
    last = max((run[1] - joined_at for run in late), default=0)
    site.record.add(f"{len(late)} late runs, the last {last:.2f} s after the "
                    "machines were joined again")
    for machine, upstream in zip(machines, left):
        upstream.end()
        await site.add_upstream(machine)
    await asyncio.sleep(2.5)
    return len(late), last


async def main():
    site = lab.Lab(HERE, LAYOUT, ["enrolment", "catalog"], LinkedMachine)
    try:
        try:
            await site.start(ROUTES, work_s=0.1)
        except (OSError, RuntimeError) as error:
            print("cannot run:", error)
            return 2
        for machine in site.machines[:4]:
            for _ in range(6):
                site.add_client(machine, "GET", "shop.example", "/view/", 15)
        results = []
        for _ in range(ROUNDS):
            machines = [m for m in site.machines[:4]
                        if not m.reads_for_others()][:CUT_MACHINES]
            results.append(await play_round(site, machines))
        print(f"{len(site.sent)} requests; rounds (late runs, the last of "
              f"them in s after the end of the cut): "
              f"{[(n, round(s, 2)) for n, s in results]}")
        return 1 if any(n for n, _ in results) else 0
    finally:
        for machine in site.machines:
            for item in machine.links:
                item.close()
        await site.stop()


if __name__ == "__main__":
    sys.exit(lab.run(main))
