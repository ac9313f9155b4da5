"""Stand-ins of the users' platform for the scripts of this review: the store, servers of a plain
service, clients, and the runner of teaseldrift-edge processes. Standard library only; everything
runs on loopback addresses in one event loop."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "teaseldrift-edge")

START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to a text file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():8.3f} {text}\n")

    def say(self, text):
        self.line(text)
        self.file.flush()
        print(f"{now():8.3f} {text}", flush=True)


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Returns (start line, headers, body) of a request or a response with a length or chunks;
    None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(start, headers, body=b""):
    head = [start] + [f"{name}: {value}" for name, value in headers.items()]
    head.append(f"content-length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store. Lease, watch and transaction semantics as on the page PROTOCOL."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 500
        self.changed = asyncio.Event()
        self.calls = 0
        # Called with (keys put, owner's port) for each transaction. Returns None to answer, or the
        # seconds after which the transaction is carried out without an answer.
        self.lose = lambda keys: None

    def put(self, key, value, lease=0):
        self.revision += 1
        self.apply_put(key, value, lease)
        self.notify()

    def apply_put(self, key, value, lease):
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.history.append((time.monotonic(), self.revision, item))

    def remove(self, key):
        self.items.pop(key, None)
        self.history.append((time.monotonic(), self.revision,
                             {"key": key, "revision": self.revision, "removed": True}))

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            self.remove(key)
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
                self.record.line(f"store: lease {lease} has ended, {key} is removed")
            self.notify()
        return True

    async def run_leases(self):
        while True:
            await asyncio.sleep(0.02)
            moment = time.monotonic()
            for lease in [l for l, (ttl, ends) in self.leases.items() if ends <= moment]:
                self.end_lease(lease)
            while self.history and self.history[0][0] < moment - 20.0:
                self.history.pop(0)

    def transaction(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                known = [self.items[r["key"]] for r in body["precondition"]
                         if r["key"] in self.items]
                return 412, {"items": known}
        for row in body.get("puts", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get("puts", []):
            self.apply_put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("deletes", []):
            if key in self.items:
                self.remove(key)
        self.notify()
        return 200, {"revision": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends = time.monotonic() + min(30000, int(query.get("wait-ms", 0))) / 1000.0
        while True:
            if self.history and after < self.history[0][1] - 1 and after < self.revision:
                oldest = self.history[0][1]
                if after < oldest - 1:
                    return 410, {}
            events = [event for _, revision, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, method, target, body):
        """Returns (status, body), or None for no answer."""
        self.calls += 1
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store-revision": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", ""))
                          and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "more-pages": len(keys) > 500, "store-revision": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            fields = json.loads(body)
            keys = [row["key"] for row in fields.get("puts", [])]
            late = self.lose(keys)
            if late is None:
                return self.transaction(fields)
            asyncio.get_running_loop().call_later(late, self.carry_out_late, fields, keys)
            return None
        if path == "/v1/kv-lease":
            ttl = min(600000, max(1000, json.loads(body)["ttl-ms"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000.0)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000.0)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            return (200 if self.end_lease(lease) else 404), {}
        return 404, {}

    def carry_out_late(self, fields, keys):
        status, _ = self.transaction(fields)
        leases = [row.get("lease", 0) for row in fields.get("puts", [])]
        self.record.say(f"store: carries out the unanswered write of {keys} under lease {leases}"
                        f" now: {status}")

    async def serve(self, reader, writer):
        try:
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(" ")
                answer = await self.answer(method, target, body)
                if answer is None:
                    # A channel on which a response is lost returns nothing further.
                    while await reader.read(4096):
                        pass
                    break
                status, fields = answer
                await asyncio.sleep(0.004)
                writer.write(message(f"HTTP/1.1 {status} X", {"content-type": "application/json"},
                                     json.dumps(fields).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def listen(self, address):
        server = await asyncio.start_server(self.serve, address, 0)
        asyncio.ensure_future(self.run_leases())
        return server.sockets[0].getsockname()[1]


class PlainServer:
    """A server of a plain service: one request at a time on a connection, the work takes 20 ms."""

    def __init__(self, record, store, ident, service, address, zone, on_run):
        self.record, self.store, self.ident = record, store, ident
        self.service, self.address, self.zone = service, address, zone
        self.on_run = on_run
        self.port = 0
        self.beats = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.work_s = 0.02

    async def listen(self):
        server = await asyncio.start_server(self.serve, self.address, 0)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.beats += 1
            entry = {"service": self.service, "address": f"{self.address}:{self.port}",
                     "zone": self.zone, "version": "v1", "slots": 200, "state": self.state,
                     "cold-left-ms": 0, "seq": self.beats, "born": self.born}
            self.store.put(f"servers/{self.ident}", json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, path, _ = start.split(" ")
                ident = headers.get("request-id", "")
                if headers.get("expect-instance", self.ident) != self.ident:
                    writer.write(message("HTTP/1.1 421 X", {"request-id": ident,
                                                            "instance-id": self.ident}))
                    await writer.drain()
                    continue
                if path == "/health":
                    writer.write(message("HTTP/1.1 200 X", {"instance-id": self.ident}))
                    await writer.drain()
                    continue
                self.on_run(self, ident, headers, now())
                await asyncio.sleep(self.work_s)
                content = f"{self.ident} ran {method} {path}\n".encode()
                writer.write(message("HTTP/1.1 200 X", {
                    "request-id": ident, "server-seal": f"{self.ident}.{ident}",
                    "server-load": "1,0,200", "keep-alive": "timeout=30"}, content))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Engine(PlainServer):
    """A model server. It keeps the parts of prompts that it has read under the cache salt, and
    remembers for which tenant and under which version each was read."""

    def __init__(self, record, store, ident, service, address, zone, model, on_run):
        super().__init__(record, store, ident, service, address, zone, on_run)
        self.model = model
        self.version = 1
        self.orders = 0
        self.parts = {}
        self.events = []
        # Number of events in a stream, and the pause between them.
        self.pieces = 4
        self.pause_s = 0.02
        self.epoch = int(self.born % 100000) + 1
        # Requests that run at once, and that wait besides.
        self.slots, self.queue = 64, 192
        self.running = asyncio.Semaphore(self.slots)
        self.present = 0

    async def beat(self):
        while True:
            self.beats += 1
            entry = {"service": self.service, "address": f"{self.address}:{self.port}",
                     "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                     "cold-left-ms": 0, "stage": "prefill_decode", "models": self.models(),
                     "seq": self.beats, "born": self.born}
            self.store.put(f"servers/{self.ident}", json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def read_prompt(self, headers):
        """Returns the kept parts that the request uses, as (part, tenant that they were read for,
        version); reads the others."""
        salt = headers.get("cache-salt", "")
        used, is_kept = [], True
        for entry in headers.get("prompt-prefix", "").split(","):
            if not entry.strip():
                continue
            part, tokens = entry.strip().split(":")
            known = self.parts.get((salt, part))
            is_kept = is_kept and known is not None
            if is_kept:
                used.append((part, *known))
            else:
                self.parts[(salt, part)] = (headers.get("tenant", ""), self.version)
                self.events.append([len(self.events) + 1, "+", salt, part, int(tokens),
                                    self.model])
        return used

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ")
                if headers.get("expect-instance", self.ident) != self.ident:
                    writer.write(message("HTTP/1.1 421 X", {
                        "request-id": headers.get("request-id", ""), "not-executed": "1"}))
                elif target.startswith("/v1/"):
                    status, fields = await self.control(method, target, headers, body)
                    writer.write(message(f"HTTP/1.1 {status} X",
                                         {"content-type": "application/json"},
                                         json.dumps(fields).encode()))
                else:
                    await self.stream(headers, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def control(self, method, target, headers, body):
        parts = urlsplit(target)
        if parts.path == "/v1/report":
            return 200, {"stage": "prefill_decode", "models": self.models(), "busy": False,
                         "seq": self.orders, "queued": 0, "running": 1, "kv-used": 0,
                         "kv-total": 224892, "handles": 0}
        if parts.path == "/v1/kv-events":
            since = int(parse_qs(parts.query).get("since", ["0"])[0])
            return 200, {"boot-epoch": self.epoch, "next": len(self.events), "lost": False,
                         "events": self.events[since:]}
        if parts.path == "/v1/order" and method == "POST":
            order = json.loads(body)
            self.record.line(f"{self.ident} gets the order {order}")
            if order.get("precondition", self.orders) != self.orders:
                return 409, {}
            if self.version >= order["version"]:
                return 200, {}
            self.orders += 1
            self.version = order["version"]
            self.parts.clear()
            return 202, {}
        return 404, {}

    async def stream(self, headers, writer):
        ident = headers.get("request-id", "")
        answer = {"request-id": ident}
        if int(headers.get("expect-version", self.version)) != self.version:
            writer.write(message("HTTP/1.1 421 X", {**answer, "not-executed": "1"}))
            return
        load = {"server-load": f"{min(self.present, self.slots)},"
                               f"{max(0, self.present - self.slots)},{self.slots}"}
        if self.present >= self.slots + self.queue:
            writer.write(message("HTTP/1.1 503 X", {**answer, **load, "not-executed": "1"}))
            return
        self.present += 1
        try:
            async with self.running:
                await self.run(ident, headers, {**answer, **load}, writer)
        finally:
            self.present -= 1

    async def run(self, ident, headers, answer, writer):
        self.on_run(self, ident, headers, now())
        head = {**answer, "server-seal": f"{self.ident}.{ident}",
                "weight-versions": str(self.version), "content-type": "text/event-stream",
                "transfer-encoding": "chunked", "keep-alive": "timeout=30"}
        writer.write(("HTTP/1.1 200 X\r\n" + "".join(f"{name}: {value}\r\n"
                                                     for name, value in head.items())
                      + "\r\n").encode("latin-1"))
        first = int(headers.get("last-event-id", "0") or 0) + 1
        for number in range(first, self.pieces + 1):
            event = f"id: {number}\ndata: piece {number} of {ident}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


class Vm:
    """One teaseldrift-edge process, started with the settings of dcas-acreage."""

    def __init__(self, record, folder, name, zone, address, store_address, store_port, ports,
                 memory_mb=110):
        self.record, self.folder, self.name, self.zone = record, folder, name, zone
        self.address = address
        self.ports = ports
        self.process = None
        self.settings = os.path.join(folder, name + ".conf")
        self.log = os.path.join(folder, name + ".log")
        lines = [
            f"node={name}", "role=edge", "class=edge", "serves=edge,directory", f"ip={address}",
            f"zone={zone}", "region=lk-west", "zones.colombo-a=lk-west",
            "zones.gampaha-b=lk-west", "zones.kalutara-c=lk-west", f"listen.front={address}:{ports['front']}",
            f"listen.ready={address}:{ports['ready']}",
            f"listen.directory={address}:{ports['directory']}",
            f"port-range={ports['peer']},{ports['peer']}", "bootstrap=true", "fault-counted=false",
            "limits.cpu-share=0.25", "limits.cores=1", f"limits.memory-mb={memory_mb}",
            "limits.max-fds=4100", "limits.link-mbps=1000.0", "limits.disk-mb=0",
            "discovery=platform", "entry=directory", "beat-ms=1200",
            "contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,"
            "platform",
            "bounds.contact-ms=3000", "bounds.drain-ms=2000", "bounds.grace-s=8",
            "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2000",
            "bounds.retry-budget-ratio=0.2", "bounds.budget-window-s=10", "bounds.retry-slack=54",
            "bounds.quota-window-s=8", "bounds.quota-overrun=0.1", "bounds.quota-slack=140000",
            "bounds.recover-s=12", "bounds.require-fence=true", "bounds.lease-ms=3000",
            "bounds.thaw-slack-ms=300", "bounds.version-ms=12000", "bounds.version-all-ms=17000",
            "bounds.ttl_max_s=5", f"platform.address={store_address}:{store_port}",
            "platform.form=kv", "platform.writes-per-s=400", "platform.reads-per-s=2000",
            "platform.history-s=20", "platform.value-bytes=1048576", "platform.ttl-min-ms=1000"]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    async def start(self):
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
               "HOME": os.environ.get("HOME", "/"), "TEASELDRIFT_NODE_FILE": self.settings}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, stdout=log, stderr=log, env=env, cwd=ROOT)
        self.record.say(f"{self.name} starts")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def resident_mb(self):
        """Resident memory in MiB; 0 if the process does not run."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
        except (OSError, IndexError):
            return 0.0

    def events(self, *names):
        """Events of the process's own log with these names."""
        found = []
        with open(self.log, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    event = json.loads(line)
                except ValueError:
                    continue
                if event.get("event") in names:
                    found.append(event)
        return found


class Client:
    """Sends single requests, each on a new channel or on a kept one."""

    def __init__(self, record):
        self.record = record
        self.kept = {}

    async def close(self):
        for pool in self.kept.values():
            for _, writer in pool:
                writer.close()
        self.kept.clear()

    async def call(self, address, port, method, path, headers, body=b"", timeout=3.0):
        """Returns (status, headers, body); status 0 if the channel was closed without an answer,
        -1 after the time-out."""
        reader = writer = None
        try:
            pool = self.kept.setdefault((address, port), [])
            if pool:
                reader, writer = pool.pop()
            else:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(address, port), 1.0)
            sent = {"host": "app.example", **headers}
            writer.write(message(f"{method} {path} HTTP/1.1", sent, body))
            start, answered, content = await asyncio.wait_for(read_message(reader), timeout)
            if answered.get("connection", "").lower() == "close":
                writer.close()
            else:
                pool.append((reader, writer))
            return int(start.split(" ")[1]), answered, content
        except asyncio.TimeoutError:
            if writer is not None:
                writer.close()
            return -1, {}, b""
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            if writer is not None:
                writer.close()
            return 0, {}, b""


def new_id(rng):
    return f"{rng.getrandbits(64):016x}"


FOLDERS = []


def make_folder():
    """A temporary folder for settings and logs, which run() removes."""
    FOLDERS.append(tempfile.mkdtemp(prefix="teaseldrift-review-"))
    return FOLDERS[-1]


def seeded(seed):
    return random.Random(seed)


def run(main):
    """Runs the script to its exit code. The stand-ins still wait for calls then, so the event loop
    is not closed in an orderly way."""
    code = 2
    try:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        code = loop.run_until_complete(main())
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
    finally:
        for folder in FOLDERS:
            shutil.rmtree(folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(code)
