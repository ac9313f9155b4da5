"""One answer of one server doesn't end: do the requests that sound servers run get their answers?"""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import (  # noqa: E402
    BROKEN, HELD, HOST, NOT_RUN, Server, head_of, now, plain_service, read_head, route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SPOILT_AT_S = (5.0, 9.0, 13.0)  # one answer each
END_S = 17.0
CHANNELS = 24
MACHINES = 2
WORK_S = 0.1
RESTART_S = 0.5  # the platform starts a process that has ended again after a short delay
CONTACT_S = 3.0
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
LINK_BYTES_PER_S = 125e6  # link-mbps of a machine: 1,000


class TroubledServer(Server):
    """A sound server, one of whose answers now and then is no answer and goes on until it is closed."""

    spoils = 0
    spoilt = 0
    answers = 0

    async def run(self, message, reader, writer):
        self.answers += 1
        if not self.spoils:
            return await super().run(message, reader, writer)
        self.spoils -= 1
        self.spoilt += 1
        self.platform.record.add("spoilt", server=self.id, request=message.headers["request-id"])
        block = CHUNK * 64
        try:
            # No Server-Seal, no Request-Id: not this server's answer.
            writer.write(head_of(200, {"Transfer-Encoding": "chunked"}) + block)
            started = now()
            sent = len(block)
            while now() - started < 3.0:
                await asyncio.sleep(max(0.0, sent / LINK_BYTES_PER_S - (now() - started)))
                await writer.drain()
                writer.write(block)
                sent += len(block)
        except ConnectionError:
            pass
        return False


class Channel:
    """A client that sends one request after the other on a channel that it keeps."""

    def __init__(self, platform, edge, number):
        self.platform = platform
        self.edge = edge
        self.number = number
        self.requests = []

    async def run(self, until):
        while now() < until:
            try:
                await self.use_channel(until)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)

    async def use_channel(self, until):
        connecting = asyncio.open_connection(*self.edge.front)
        reader, writer = await asyncio.wait_for(connecting, 1)
        answered = 0
        try:
            while now() < until:
                self.platform.last_request += 1
                request = f"{self.platform.last_request:016x}"
                sent = {"request": request, "machine": self.edge.name, "at": now(),
                        "kept": answered > 0, "complete": False}
                self.requests.append(sent)
                self.platform.record.add("sent", **{k: v for k, v in sent.items() if k != "at"})
                line = "POST /fiti832/2f" if self.number % 2 else "GET /filo73/2f"
                body = b"bill 1" if self.number % 2 else b""
                writer.write(f"{line} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
                             f"Deadline-Ms: 2500\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                first, headers = await asyncio.wait_for(read_head(reader), 2.5)
                await reader.readexactly(int(headers["content-length"]))
                sent["complete"] = True
                self.platform.record.add("answered", request=request, status=first.split(" ")[1])
                answered += 1
                if headers.get("connection", "").lower() == "close":
                    return
        finally:
            if not sent["complete"]:
                self.platform.record.add("closed-without-answer", request=sent["request"])
            writer.close()


async def keep_running(platform, ends):
    """Starts processes that have ended by themselves again, as the platform does."""
    while True:
        for edge in platform.edges:
            if not edge.is_running():
                code = edge.process.returncode
                name = signal.Signals(-code).name if code < 0 else str(code)
                ends.append((now(), edge.name, name))
                platform.record.add("process-ended", machine=edge.name, by=name)
                await asyncio.sleep(RESTART_S)
                await edge.start()
        await asyncio.sleep(0.02)


async def play(platform):
    troubled = TroubledServer(platform, "gowu98c", work_s=WORK_S)
    sound = [Server(platform, "gowu98c", zone=zone, work_s=WORK_S) for zone in ("perth", "dundee", "forfar")]
    platform.servers = [troubled, *sound]
    platform.operator_config(
        1,
        [route("r-bill", "/fiti832/", "non_idempotent", "gowu98c"),
         route("r-lookup", "/filo73/", "idempotent", "gowu98c", **{"max-attempts": 2})],
        [plain_service("gowu98c")])
    if not await platform.start(MACHINES):
        return NOT_RUN
    # Until the machines are in touch.
    await asyncio.sleep(CONTACT_S)
    ends = []
    watch = asyncio.create_task(keep_running(platform, ends))
    started = now()
    channels = [Channel(platform, platform.edges[i % MACHINES], i) for i in range(CHANNELS)]
    clients = [asyncio.create_task(channel.run(started + END_S)) for channel in channels]
    for at in SPOILT_AT_S:
        await asyncio.sleep(max(0.0, started + at - now()))
        troubled.spoils = 1 if TROUBLE else 0
    await asyncio.gather(*clients)
    watch.cancel()

    # LOST: on a kept channel, passed on to a sound server, and closed without an answer.
    ran = {request for server in sound for _, request in server.runs}
    requests = [request for channel in channels for request in channel.requests]
    lost = [request for request in requests
            if request["kept"] and not request["complete"] and request["request"] in ran]
    for request in lost:
        platform.record.add("lost", request=request["request"], machine=request["machine"])
    broken = len(lost) > 3
    summary = (f"LOST {'broken' if broken else 'held'}: {len(lost)} of {len(requests)} requests, on kept channels and"
               f" run by sound servers, had no answer; {troubled.spoilt} of {troubled.answers} answers of one server"
               f" in {len(platform.servers)} did not end; processes that ended by themselves:"
               f" {[(name, by) for _, name, by in ends] or 'none'}")
    platform.record.add("verdict", text=summary)
    print(summary)
    return BROKEN if broken else HELD


run_case(os.path.dirname(os.path.abspath(__file__)), play)
