"""A configuration isolates a tenant. Requests of another tenant go on to use KV cache that was made
for the isolated one."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins2"))
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VMS = [("edge-colombo-a-1", "colombo-a"), ("edge-gampaha-b-1", "gampaha-b"),
       ("edge-kalutara-c-1", "kalutara-c")]
ZONES = [zone for _, zone in VMS]
MODEL = "daka510000"
TENANTS = {"sese880": "key-of-sese880", "kabo54": "key-of-kabo54"}
ISOLATED = "sese880"
CONFIG_APPLY_S = 2.0


def config(version, isolated):
    return {
        "version": version,
        "routes": [{"name": "draft", "host": "app.example", "prefix": "/draft/",
                    "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 800,
                    "priority": 1, "service": "estimator", "max-attempts": 1,
                    "anonymous": False, "sticky": True, "resumable": False,
                    "target-gap-ms": 300}],
        "services": [{"name": "estimator", "health-path": "/health", "max-conns": 360,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kv-capacity-tokens": 220993,
                                 "kv-token-bytes": 35136, "link-mbps": 260000.0, "stride": 6,
                                 "max-concurrent": 12, "models": [{"name": MODEL}]}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": name, "api-keys": [key], "priority": 1, "unit": "tokens",
                     "plain-tokens": 200, "rate-per-s": 154029, "burst": 154029,
                     "isolated": name in isolated} for name, key in TENANTS.items()]}


async def main():
    record = standin.Record(os.path.join(HERE, "record.txt"))
    folder = standin.make_folder()
    rng = standin.seeded(10)
    store = standin.Store(record)
    vms, runs = [], []
    isolated = set()
    try:
        store_port = await store.listen("127.0.0.1")
        store.put("op/config", json.dumps(config(3, isolated)).encode())
        store.put(f"op/version/{MODEL}", json.dumps({"model": MODEL, "version": 1}).encode())

        def on_run(server, ident, headers, moment):
            used = server.read_prompt(headers)
            runs.append((moment, ident, headers.get("tenant", ""), server.ident, used))
            record.line(f"{server.ident} runs {ident} for {headers.get('tenant')} under the salt"
                        f" {headers.get('cache-salt')!r}; it uses {used}")

        for index, zone in enumerate(ZONES):
            engine = standin.Engine(record, store, f"i-estimator{index}", "estimator",
                                    "127.0.0.1", zone, MODEL, on_run)
            await engine.listen()
        ports = {name: standin.free_port("127.0.0.1")
                 for name in ("front", "ready", "directory", "peer")}
        for index, (name, zone) in enumerate(VMS):
            vms.append(standin.Vm(record, folder, name, zone, f"127.0.10.{index + 1}",
                                  "127.0.0.1", store_port, ports))
        for vm in vms:
            await vm.start()
        client = standin.Client(record)
        answered = []

        async def ask(tenant, count):
            for _ in range(count):
                vm = vms[rng.randrange(len(vms))]
                ident = standin.new_id(rng)
                own = f"{rng.getrandbits(32):08x}"
                status, _, _ = await client.call(
                    vm.address, ports["front"], "POST", "/draft/plot",
                    {"request-id": ident, "deadline-ms": "15000", "api-key": TENANTS[tenant],
                     "model": MODEL, "token-count": "6610,64",
                     "prompt-prefix": f"5c1e07a2:512,91bd3f06:4870,{own}:1228"},
                    b"x" * 1000, timeout=10.0)
                answered.append(status)
                record.line(f"{ident} of {tenant} to {vm.name}: {status}")
                await asyncio.sleep(0.05)

        await asyncio.sleep(10.0)
        await ask(ISOLATED, 20)
        if TROUBLE:
            store.put("op/config", json.dumps(config(5, {ISOLATED})).encode())
            record.say(f"operator: {ISOLATED} is isolated in version 5, acknowledged now")
            isolated.add(ISOLATED)
        begin = standin.now() + CONFIG_APPLY_S
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        await ask("kabo54", 40)
        await ask(ISOLATED, 20)
    finally:
        for vm in vms:
            await vm.end()
    broken = [(moment, ident, tenant, part) for moment, ident, tenant, _, used in runs
              for part, maker, _ in used
              if moment > begin and maker != tenant and {maker, tenant} & isolated]
    for moment, ident, tenant, part in broken:
        record.line(f"WALL: {ident} of {tenant} at {moment:.3f} uses the part {part} of another"
                    f" tenant; {ISOLATED} is isolated")
    shared = sum(1 for moment, _, tenant, _, used in runs
                 for _, maker, _ in used if moment > begin and maker != tenant)
    record.say(f"answers: {len(answered)}, of them 200: {answered.count(200)};"
               f" parts of another tenant used after the change: {shared}")
    if answered.count(200) < 60:
        return 2
    record.say("WALL is broken" if broken else "WALL holds")
    return 1 if broken else 0


standin.run(main)
