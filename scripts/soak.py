#!/usr/bin/env python3
"""Soak: 6 VMs, 8 engines, 2 plain services and one store on loopback, under random faults.

scripts/soak.py --seconds N --seed S. Prints counts and exits with 1 on any broken promise. Needs a
build in build/; ends its processes by their ids.
"""
import argparse
import collections
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CTL = f"{ROOT}/build/packages/ctl/teaseldriftctl"
ZONES = ("perth", "dundee", "forfar")
VMS, ENGINES, SERVICES = 6, 8, 2
REQUESTS_PER_S, CALLS_PER_S = 40, 10
TOKEN = "soak"


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def ask(port, path, body=None, method=None, headers=None, timeout=2):
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", body, headers or {},
                                     method=method)
    return urllib.request.urlopen(request, timeout=timeout).read()


def wait_for(port, path):
    for _ in range(600):
        try:
            return ask(port, path)
        except OSError:
            time.sleep(0.05)
    sys.exit(f"no answer from {path}")


class Member:
    """One process with its command line."""

    def __init__(self, program, port, *arguments):
        self.command = [f"{ROOT}/build/{program}", *map(str, arguments)]
        self.port = port
        self.process = None
        self.start()

    def start(self):
        self.process = subprocess.Popen(self.command, stdout=subprocess.DEVNULL,
                                        stderr=subprocess.DEVNULL)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


class Fleet:
    def __init__(self, folder):
        ports = free_ports(2 + ENGINES + SERVICES + 2 * VMS)
        self.store = Member("testing/standin-store", ports[0], "--port", ports[0])
        self.vm_list = Member("testing/standin-vm_list", ports[1], "--port", ports[1])
        rest = ports[2:]
        self.engines = [Member("testing/standin-engine", port, "--port", port, "--token-ms", 10,
                               "--prefill-us-per-token", 20, "--slots", 16, "--block-tokens", 128)
                        for port in rest[:ENGINES]]
        rest = rest[ENGINES:]
        self.records = [f"{folder}/runs-{index}" for index in range(SERVICES)]
        self.services = [Member("testing/standin-plain_service", port, "--port", port,
                                "--record-file", record)
                         for port, record in zip(rest[:SERVICES], self.records)]
        rest = rest[SERVICES:]
        self.vm_ports, self.peer_ports = rest[:VMS], rest[VMS:]
        for member in (*self.engines, *self.services):
            wait_for(member.port, "/runs")
        wait_for(self.vm_list.port, "/vms")
        self.publish()
        self.configure()
        self.vms = [Member("packages/router/teaseldriftd", port, "--vm-id", f"vm-{index}",
                           "--availability-zone", ZONES[index % 3], "--caller-port", port,
                           "--peer-port", peer, "--store-address", f"127.0.0.1:{ports[0]}",
                           "--vm-list-address", f"127.0.0.1:{ports[1]}", "--admin-token", TOKEN,
                           "--log-level", "error")
                    for index, (port, peer) in enumerate(zip(self.vm_ports, self.peer_ports))]
        for port in self.vm_ports:
            wait_for(port, "/readyz")

    def publish(self):
        body = [{"id": f"vm-{index}", "address": "127.0.0.1", "caller_port": port,
                 "peer_port": peer, "zone": ZONES[index % 3], "state": "live"}
                for index, (port, peer) in enumerate(zip(self.vm_ports, self.peer_ports))]
        ask(self.vm_list.port, "/vms", json.dumps(body).encode(), "PUT")

    def ctl(self, *arguments):
        settings = {**os.environ, "TEASELDRIFT_STORE_ADDRESS": f"127.0.0.1:{self.store.port}"}
        return subprocess.run([CTL, "--no-wait", *arguments], check=True, capture_output=True,
                              text=True, env=settings).stdout

    def configure(self):
        self.ctl("defaults", "set", "--entry-lifetime-ms", "1000", "--progress-timeout-ms", "1500",
                 "--request-deadline-ms", "20000")
        self.ctl("model", "create", "m", "--block-tokens", "128", "--weights-version", "1")
        for index, member in enumerate(self.engines):
            self.ctl("target", "create", f"engine-{index}", "--address", "127.0.0.1", "--port",
                     str(member.port), "--kind", "engine", "--models", "m", "--slots", "16",
                     "--availability-zone", ZONES[index % 3])
        for index, member in enumerate(self.services):
            self.ctl("target", "create", f"service-{index}", "--address", "127.0.0.1", "--port",
                     str(member.port), "--kind", "plain-service", "--service", "books",
                     "--slots", "64", "--availability-zone", ZONES[index % 3])
        self.ctl("route", "create", "/bills", "--route-class", "non-idempotent", "--service",
                 "books")
        self.ctl("organisation", "create", "kinloch-baird", "--rate-tokens-per-s", "1000000",
                 "--burst-tokens", "2000000")
        self.key = self.ctl("key", "create", "kinloch-baird").strip().splitlines()[-1]

    def close(self):
        for member in (*self.vms, *self.engines, *self.services, self.store, self.vm_list):
            member.stop()


class Faults:
    """Random faults of the kinds that the brief names; each is undone after a while."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.counts = collections.Counter()
        self.cut_exits = 0

    def run(self, until):
        while time.time() < until:
            time.sleep(self.random.uniform(0.5, 2.0))
            fault = self.random.choice((
                self.crash_engine, self.freeze_engine, self.cut_streams, self.stop_vm, self.kill_vm,
                self.freeze_vm, self.store_fault, self.service_fault, self.freeze_list))
            self.counts[fault.__name__] += 1
            fault()

    def pause(self):
        time.sleep(self.random.uniform(0.3, 2.5))

    def restart(self, member):
        member.process.wait()
        member.start()

    def crash_engine(self):
        engine = self.random.choice(self.fleet.engines)
        engine.signal(signal.SIGKILL)
        self.pause()
        self.restart(engine)

    def freeze(self, member):
        member.signal(signal.SIGSTOP)
        self.pause()
        member.signal(signal.SIGCONT)

    def freeze_engine(self):
        self.freeze(self.random.choice(self.fleet.engines))

    def freeze_vm(self):
        self.freeze(self.random.choice(self.fleet.vms))

    def freeze_list(self):
        self.freeze(self.fleet.vm_list)

    def set_fault(self, port, **fault):
        try:
            ask(port, "/fault", json.dumps(fault).encode())
        except OSError:
            pass

    def cut_streams(self):
        engine = self.random.choice(self.fleet.engines)
        self.set_fault(engine.port, mode=f"cut_after:{self.random.randint(1, 20)}", streams=5)
        self.pause()
        self.set_fault(engine.port, mode="none")

    def stop_vm(self):
        vm = self.random.choice(self.fleet.vms)
        vm.signal(signal.SIGTERM)
        if vm.process.wait() != 0:
            self.cut_exits += 1
        vm.start()

    def kill_vm(self):
        vm = self.random.choice(self.fleet.vms)
        vm.signal(signal.SIGKILL)
        self.restart(vm)

    def store_fault(self):
        mode = self.random.choice(("down", "slow", "lose_answers"))
        self.set_fault(self.fleet.store.port, mode=mode, ms=700)
        self.pause()
        self.set_fault(self.fleet.store.port, mode="none")

    def service_fault(self):
        service = self.random.choice(self.fleet.services)
        mode = self.random.choice(("die", "drop_answer", "silent", "slow", "refuse"))
        self.set_fault(service.port, mode=mode, calls=3, ms=500)
        self.pause()
        if service.process.poll() is not None:
            self.restart(service)
        else:
            self.set_fault(service.port, mode="none")


def load(fleet, seconds, seed, plain):
    rate = CALLS_PER_S if plain else REQUESTS_PER_S
    result = tempfile.NamedTemporaryFile(suffix=".json", delete=False)
    command = [CTL, "--vms", ",".join(f"127.0.0.1:{port}" for port in fleet.vm_ports), "load",
               "--key", fleet.key, "--rate", str(rate), "--requests", str(int(rate * seconds)),
               "--seed", str(seed), "--quiet", "--silence-s", "30", "--json-file", result.name]
    command += ["--plain", "/bills/weekly"] if plain else [
        "--model", "m", "--max-tokens", "40", "--levels", "3", "--level-tokens", "128",
        "--verify-standin"]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    return process, result.name


def retries(fleet):
    totals = collections.Counter()
    for port in fleet.vm_ports:
        try:
            lines = ask(port, "/metrics").decode().splitlines()
        except OSError:
            continue
        for line in lines:
            if line.startswith("teaseldrift_retries_total{"):
                name, value = line.rsplit(" ", 1)
                totals[name.split('"')[1]] += int(float(value))
    return totals


def read_result(name):
    with open(name) as file:
        result = json.load(file)
    os.unlink(name)
    return result


def report(fleet, faults, streams, calls):
    runs = collections.Counter()
    for record in fleet.records:
        if os.path.exists(record):
            runs.update(line.strip() for line in open(record) if line.strip())
    doubled = sum(1 for count in runs.values() if count > 1)
    said_not_run = set(calls["calls_not_run"])
    # Completed calls have run; those with an unknown outcome or no response may have.
    unaccounted = calls["sent"] - sum(calls[name] for name in (
        "completed", "incomplete", "unknown", "unreachable", "crossed", "refused_total"))
    bad = {
        "calls wrongly said not run": len(said_not_run & set(runs)),
        "calls completed that did not run": max(0, calls["completed"] - len(runs)),
        "calls without any result": unaccounted,
        "streams out of order": streams["out_of_order"],
        "streams with wrong or crossed text": streams["crossed"],
        "calls run twice": doubled,
        "planned stops that cut": faults.cut_exits,
    }
    print("faults:", dict(faults.counts))
    print("streams:", {name: streams[name] for name in
                       ("sent", "completed", "incomplete", "moved", "refused_total")})
    print("streams refused by result:", streams["refused"])
    print("calls:", {name: calls[name] for name in
                     ("sent", "completed", "incomplete", "unknown", "unreachable", "moved",
                      "refused_total")})
    print("calls said not run:", len(said_not_run))
    print("calls refused by result:", calls["refused"])
    print("calls that ran:", len(runs))
    print("retries since each VM's start:", dict(retries(fleet)))
    for name, count in bad.items():
        print(f"{'ok    ' if count == 0 else 'BROKEN'} {name}: {count}")
    return not any(bad.values())


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(f"soak: seconds={options.seconds} seed={options.seed}", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder)
        try:
            faults = Faults(fleet, options.seed)
            loads = [load(fleet, options.seconds, options.seed, plain) for plain in (False, True)]
            worker = threading.Thread(target=faults.run, args=(time.time() + options.seconds,))
            worker.start()
            worker.join()
            for process, _ in loads:
                process.wait(timeout=120)
            passed = report(fleet, faults, *(read_result(name) for _, name in loads))
        finally:
            fleet.close()
    print("soak: every promise held" if passed else "soak: a promise was broken")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
