"""Runs nodes and stand-ins on loopback for the benchmarks."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD_DIR = pathlib.Path(os.environ.get("BUILD", ROOT / "build"))
NODE_PROGRAM = pathlib.Path(
    os.environ.get("NODE", BUILD_DIR / "apps" / "jujubespand"))
OPERATOR_PROGRAM = BUILD_DIR / "apps" / "jujubespan"


def send_http(method, url, body=None, timeout=5):
    """Sends a request and returns the body of the response."""
    request = urllib.request.Request(url, data=body, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return response.read().decode()


class Mesh:
    """The processes of one deployment, which run within a `with` block.

    `services` are the SERVICE:COUNT:SLOTS:CONNECTIONS arguments of
    examples/make_settings.sh. `backend_slots` maps services to slots that
    override these for the backend servers. `list_lag_ms` and `extra_settings`
    go into the settings of the nodes.
    """

    def __init__(self, services, contracts, script, base_port=24000,
                 domains="d-1,d-2", extra_settings="", backend_slots=None,
                 list_lag_ms=1000):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="jujubespan-"))
        self.base_port = base_port
        env = dict(os.environ,
                   EXTRA=f'"list_lag_ms": {list_lag_ms},' + extra_settings)
        subprocess.run([ROOT / "examples" / "make_settings.sh",
                        self.directory / "nodes", str(base_port), domains,
                        *services],
                       check=True, env=env)
        self.settings = {}
        for path in sorted((self.directory / "nodes").glob("*.jsonc")):
            text = "\n".join(line for line in path.read_text().splitlines()
                             if not line.startswith("//"))
            self.settings[path.stem] = json.loads(text)
        (self.directory / "script.jsonc").write_text(json.dumps(script))
        self.contract_arguments = []
        for contract in contracts:
            path = self.directory / (contract["customer"] + ".jsonc")
            path.write_text(json.dumps(contract))
            self.contract_arguments += ["-c", str(path)]
        self.backend_slots = backend_slots or {}
        self.processes = {}

    def settings_path(self, name):
        return str(self.directory / "nodes" / (name + ".jsonc"))

    def start_process(self, process_name, arguments):
        log = open(self.directory / (process_name + ".log"), "w")
        self.processes[process_name] = subprocess.Popen(
            [str(argument) for argument in arguments], stderr=log,
            stdout=subprocess.DEVNULL)

    def start_node(self, name):
        self.start_process("node-" + name,
                           [NODE_PROGRAM, self.settings_path(name)])

    def __enter__(self):
        self.start_process(
            "platform", [BUILD_DIR / "examples" / "platform_standin",
                         "--port", self.base_port, *self.contract_arguments,
                         *[self.settings_path(n) for n in self.settings]])
        for name, node_settings in self.settings.items():
            slots = self.backend_slots.get(node_settings["service"], 0)
            self.start_process(
                "backend-" + name,
                [BUILD_DIR / "examples" / "backend_standin", "--slots",
                 slots, self.settings_path(name),
                 self.directory / "script.jsonc"])
            self.start_node(name)
        self.wait_until_ready()
        return self

    def wait_until_ready(self):
        deadline = time.time() + 20
        waiting = set(self.settings)
        while waiting and time.time() < deadline:
            for name in list(waiting):
                try:
                    status = self.read_status(name)
                    if (status["contracts_revision"] > 0
                            and status["instances_revision"] > 0):
                        waiting.discard(name)
                except OSError:
                    pass
            time.sleep(0.05)
        if waiting:
            raise RuntimeError(
                f"nodes are not ready: {waiting}, logs in {self.directory}")
        time.sleep(1.5)

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def address(self, name, role):
        return self.settings[name][role + "_address"]

    def read_status(self, name):
        return json.loads(send_http(
            "GET", f"http://{self.address(name, 'operators')}/status"))

    def read_metrics(self, name):
        text = send_http(
            "GET", f"http://{self.address(name, 'operators')}/metrics")
        values = {}
        for line in text.splitlines():
            if not line.startswith("#"):
                key, value = line.rsplit(" ", 1)
                values[key] = float(value)
        return values

    def read_backend_counters(self, name):
        return json.loads(send_http(
            "GET", f"http://{self.address(name, 'backend')}/standin"))

    def set_slowdown(self, service, factor):
        for name, node_settings in self.settings.items():
            if node_settings["service"] == service:
                send_http("PUT", f"http://{self.address(name, 'backend')}"
                                 f"/standin?slow={factor}")

    def instance_names(self, service):
        return [n for n, s in self.settings.items() if s["service"] == service]

    def caller_addresses(self, service):
        return [self.address(n, "caller")
                for n in self.instance_names(service)]

    def load_command(self, plan, seconds, scale=1.0, seed=1, prefix="load"):
        path = self.directory / f"plan-{prefix}.jsonc"
        path.write_text(json.dumps(plan))
        return [str(OPERATOR_PROGRAM), "load", "--json", "--seconds",
                str(seconds), "--scale", str(scale), "--seed", str(seed),
                "--id-prefix", prefix, str(path)]

    def run_load(self, *arguments, **options):
        out = subprocess.run(self.load_command(*arguments, **options),
                             check=True, capture_output=True, text=True)
        return json.loads(out.stdout)

    def count_started(self):
        return sum(self.read_backend_counters(n)["started"]
                   for n in self.settings)

    def cpu_seconds(self, name):
        pid = self.processes["node-" + name].pid
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mib(self, name):
        pid = self.processes["node-" + name].pid
        for line in pathlib.Path(
                f"/proc/{pid}/status").read_text().split("\n"):
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0
