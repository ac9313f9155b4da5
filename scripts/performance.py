#!/usr/bin/env python3
"""Measures one router process against the bare engine stand-in, in the same run.

Prints CSV rows name,size,value,unit. Needs a build in build/; starts its processes on loopback
and ends them by their ids.
"""
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CTL = f"{ROOT}/build/packages/ctl/teaseldriftctl"
ENGINES = 1
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def wait_for(url):
    for _ in range(300):
        try:
            if urllib.request.urlopen(url, timeout=1).status == 200:
                return
        except OSError:
            time.sleep(0.05)
    sys.exit(f"no answer from {url}")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_bytes(pid):
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Site:
    """A store, a VM list, engines and one router VM."""

    def __init__(self):
        self.processes = []
        try:
            self.open()
        except BaseException:
            self.close()
            raise

    def open(self):
        self.store, self.vm_list, self.router, self.peer, *self.engines = free_ports(4 + ENGINES)
        self.start("testing/standin-store", "--port", self.store)
        self.start("testing/standin-vm_list", "--port", self.vm_list)
        for port in self.engines:
            self.start("testing/standin-engine", "--port", port, "--token-ms", 10,
                       "--prefill-us-per-token", 0, "--slots", 4000, "--block-tokens", 128)
        for port in self.engines:
            wait_for(f"http://127.0.0.1:{port}/health")
        wait_for(f"http://127.0.0.1:{self.vm_list}/vms")
        record = [{"id": "vm-1", "address": "127.0.0.1", "caller_port": self.router,
                   "peer_port": self.peer, "zone": "perth", "state": "live"}]
        urllib.request.urlopen(urllib.request.Request(
            f"http://127.0.0.1:{self.vm_list}/vms", json.dumps(record).encode(), method="PUT"))
        self.ctl("model", "create", "m", "--block-tokens", "128", "--weights-version", "1")
        for index, port in enumerate(self.engines):
            self.ctl("target", "create", f"engine-{index}", "--address", "127.0.0.1", "--port",
                     str(port), "--kind", "engine", "--models", "m", "--slots", "4000",
                     "--availability-zone", "perth")
        self.ctl("organisation", "create", "o", "--rate-tokens-per-s", "100000000",
                 "--burst-tokens", "100000000")
        self.pid = self.start("packages/router/teaseldriftd", "--vm-id", "vm-1",
                              "--availability-zone", "perth", "--caller-port", self.router,
                              "--peer-port", self.peer, "--store-address",
                              f"127.0.0.1:{self.store}", "--vm-list-address",
                              f"127.0.0.1:{self.vm_list}", "--log-level", "warn")
        self.key = self.ctl("key", "create", "o").strip().splitlines()[-1]
        wait_for(f"http://127.0.0.1:{self.router}/readyz")

    def start(self, program, *arguments):
        process = subprocess.Popen([f"{ROOT}/build/{program}", *map(str, arguments)],
                                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.processes.append(process)
        return process.pid

    def ctl(self, *arguments):
        settings = {**os.environ, "TEASELDRIFT_STORE_ADDRESS": f"127.0.0.1:{self.store}"}
        return subprocess.run([CTL, "--no-wait", *arguments], check=True, capture_output=True,
                              text=True, env=settings).stdout

    def load(self, vms, requests, rate, tokens):
        with tempfile.NamedTemporaryFile(suffix=".json") as result:
            subprocess.run([CTL, "load", "--vms", ",".join(f"127.0.0.1:{port}" for port in vms),
                            "--key", self.key, "--model", "m", "--requests", str(requests),
                            "--rate", str(rate), "--max-tokens", str(tokens), "--levels", "2",
                            "--level-tokens", "128", "--question-tokens", "16", "--quiet",
                            "--max-open", "8000", "--json-file", result.name],
                           check=True, capture_output=True)
            return json.load(open(result.name))

    def close(self):
        for process in self.processes:
            process.kill()
            process.wait()


def row(name, size, value, unit):
    print(f"{name},{size},{value:.6g},{unit}", flush=True)


def quantile(result, part, which):
    return result[part][which]


def measure(site):
    row("router_rss_idle", 0, rss_bytes(site.pid), "B")
    begun = cpu_seconds(site.pid)
    time.sleep(5)
    row("router_idle_cpu", 0, (cpu_seconds(site.pid) - begun) / 5, "core")
    # Added first-token time at half load: 1000 requests/s, 25 tokens each.
    bare = site.load(site.engines, 5000, 1000, 25)
    begun, started = cpu_seconds(site.pid), time.time()
    routed = site.load([site.router], 5000, 1000, 25)
    used = cpu_seconds(site.pid) - begun
    row("load_complete", 1000, routed["completed"] / routed["sent"], "1")
    for which in ("p50", "p99"):
        added = routed["first_token_ms"][which] - bare["first_token_ms"][which]
        row(f"added_first_token_{which}", 1000, added, "ms")
    row("router_cpu_share", 1000, used / (time.time() - started), "core")
    # Slope by tokens: the same requests with 1 and with 51 tokens.
    costs = {}
    for tokens in (1, 51):
        begun = cpu_seconds(site.pid)
        site.load([site.router], 4000, 800, tokens)
        costs[tokens] = (cpu_seconds(site.pid) - begun) / 4000
    per_token = (costs[51] - costs[1]) / 50
    row("cpu_per_request", 1, (costs[1] - per_token) * 1e6, "us")
    row("cpu_per_token", 1, per_token * 1e6, "us")
    row("requests_per_core", 1, 1 / costs[1], "1/s")
    row("tokens_per_core", 1, 1 / per_token, "1/s")
    # Memory with 1000 open streams.
    load = subprocess.Popen([CTL, "load", "--vms", f"127.0.0.1:{site.router}", "--key", site.key,
                             "--model", "m", "--requests", "1000", "--rate", "1000",
                             "--max-tokens", "400", "--levels", "2", "--level-tokens", "128",
                             "--quiet", "--max-open", "8000"],
                            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    time.sleep(3)
    row("router_rss_open_streams", 1000, rss_bytes(site.pid), "B")
    load.wait()


def main():
    site = Site()
    try:
        measure(site)
    finally:
        site.close()


if __name__ == "__main__":
    main()
