"""Starts a mesh of stand-ins and nodes on loopback for the benches."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD", ROOT / "build"))
NODE = pathlib.Path(os.environ.get("NODE", BUILD / "apps" / "jujubespand"))
COMMAND = BUILD / "apps" / "jujubespan"


def http(method, url, body=None, timeout=5):
    """Returns the body of an answer."""
    request = urllib.request.Request(url, data=body, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


class Mesh:
    """Processes of one deployment; a context manager."""

    def __init__(self, services, contracts, script, base=24000,
                 domains="d-1,d-2", extra="", true_slots=None,
                 lag_ms=1000):
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="jujubespan-"))
        self.base = base
        env = dict(os.environ, EXTRA=f'"list_lag_ms": {lag_ms},' + extra)
        subprocess.run([ROOT / "examples" / "make_settings.sh",
                        self.dir / "nodes", str(base), domains, *services],
                       check=True, env=env)
        self.settings = {}
        for path in sorted((self.dir / "nodes").glob("*.jsonc")):
            text = "\n".join(line for line in path.read_text().splitlines()
                             if not line.startswith("//"))
            self.settings[path.stem] = json.loads(text)
        (self.dir / "script.jsonc").write_text(json.dumps(script))
        self.contracts = []
        for terms in contracts:
            path = self.dir / (terms["customer"] + ".jsonc")
            path.write_text(json.dumps(terms))
            self.contracts += ["-c", str(path)]
        self.true_slots = true_slots or {}
        self.processes = {}

    def path(self, name):
        return str(self.dir / "nodes" / (name + ".jsonc"))

    def spawn(self, key, arguments):
        log = open(self.dir / (key + ".log"), "w")
        self.processes[key] = subprocess.Popen(
            [str(word) for word in arguments], stderr=log,
            stdout=subprocess.DEVNULL)

    def start_node(self, name):
        self.spawn("node-" + name, [NODE, self.path(name)])

    def __enter__(self):
        self.spawn("platform", [BUILD / "examples" / "platform_standin",
                                "--port", self.base, *self.contracts,
                                *[self.path(n) for n in self.settings]])
        for name, options in self.settings.items():
            slots = self.true_slots.get(options["service"], 0)
            self.spawn("backend-" + name,
                       [BUILD / "examples" / "backend_standin", "--slots",
                        slots, self.path(name), self.dir / "script.jsonc"])
            self.start_node(name)
        self.wait_ready()
        return self

    def wait_ready(self):
        limit = time.time() + 20
        waiting = set(self.settings)
        while waiting and time.time() < limit:
            for name in list(waiting):
                try:
                    state = self.status(name)
                    if (state["contracts_revision"] > 0
                            and state["instances_revision"] > 0):
                        waiting.discard(name)
                except OSError:
                    pass
            time.sleep(0.05)
        if waiting:
            raise RuntimeError(f"not ready: {waiting}, logs in {self.dir}")
        time.sleep(1.5)

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def address(self, name, which):
        return self.settings[name][which + "_address"]

    def status(self, name):
        return json.loads(http(
            "GET", f"http://{self.address(name, 'operators')}/status"))

    def metrics(self, name):
        text = http("GET", f"http://{self.address(name, 'operators')}/metrics")
        values = {}
        for line in text.splitlines():
            if not line.startswith("#"):
                key, value = line.rsplit(" ", 1)
                values[key] = float(value)
        return values

    def backend(self, name):
        return json.loads(http(
            "GET", f"http://{self.address(name, 'backend')}/standin"))

    def slow(self, service, factor):
        for name, options in self.settings.items():
            if options["service"] == service:
                http("PUT", f"http://{self.address(name, 'backend')}"
                            f"/standin?slow={factor}")

    def names(self, service):
        return [n for n, o in self.settings.items() if o["service"] == service]

    def callers(self, service):
        return [self.address(n, "caller") for n in self.names(service)]

    def load_command(self, plan, seconds, scale=1.0, seed=1, prefix="load"):
        path = self.dir / f"plan-{prefix}.jsonc"
        path.write_text(json.dumps(plan))
        return [str(COMMAND), "load", "--json", "--seconds", str(seconds),
                "--scale", str(scale), "--seed", str(seed), "--id-prefix",
                prefix, str(path)]

    def load(self, *arguments, **options):
        out = subprocess.run(self.load_command(*arguments, **options),
                             check=True, capture_output=True, text=True)
        return json.loads(out.stdout)

    def started(self):
        return sum(self.backend(n)["started"] for n in self.settings)

    def cpu_seconds(self, name):
        pid = self.processes["node-" + name].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text()
        words = fields.rsplit(")", 1)[1].split()
        return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mb(self, name):
        pid = self.processes["node-" + name].pid
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().split("\n"):
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0
