"""All processes are killed while the engines get a new software version."""

import asyncio
import os
import pathlib
import sys
import tempfile
import traceback

from review.stand_ins import fleet as fleet_lib
from review.stand_ins import http

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = pathlib.Path(__file__).resolve().parent
TENANT, RATE = "huka270", 1_000_000
STREAMS = 12
# The clients' time limit, and the longest wait that the operator wants.
LIMIT_S, ROUTE_TIMEOUT_MS = 14.0, 7_000
EVENTS, EVENT_INTERVAL_S = 25, 0.2
DRAIN_S = 2.0
ALLOWED = 2
# As on the sheet, a client tries once more; it waits before it does.
RETRIES, PAUSE_S = 1, 5.0


class Stream:
    """One stream, over the client attempts that its client makes.

    Attributes:
      versions: Software version of each event received, by its id.
    """

    def __init__(self, fleet, number, log):
        self.versions = {}
        self.number = number
        self._fleet = fleet
        self._log = log
        self._begun_as = ""
        self.complete = False

    @property
    def last_id(self):
        return max(self.versions, default=0)

    async def run(self, broken):
        """Receives the stream; goes on after a broken connection.

        Args:
          broken: Set when the client's first connection breaks.
        """
        began_at = self._fleet.now()
        for attempt in range(1 + RETRIES):
            left_s = LIMIT_S - (self._fleet.now() - began_at)
            if left_s <= 0.5:
                return
            wait_s = await self._attempt(attempt, left_s, broken)
            if self.complete:
                return
            await asyncio.sleep(wait_s)

    async def _attempt(self, attempt, left_s, broken):
        router = self._fleet.routers[
            (self.number + attempt) % len(self._fleet.routers)
        ]
        name = f"{self.number:08x}{attempt:08x}"
        headers = {
            "Host": fleet_lib.HOST_NAME,
            "Attempt-Id": name,
            "Model": "m",
            "Token-Usage": "3200,67",
            "Prefix-Hash": f"abc:200,{self.number + 1:08x}:3000",
            "Deadline-Ms": int(left_s * 1000),
            "Authorization": f"Bearer {fleet_lib.KEY}",
            "Content-Length": 0,
        }
        if self.versions:
            headers["Last-Event-Id"] = self.last_id
            headers["Resumes"] = self._begun_as
        self._log(
            f"{name} sent to {router.name}, {left_s:.2f} s left,"
            f" after event {self.last_id}"
        )
        status, retry_after = 0, PAUSE_S
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    router.host, router.port
                )
        except (OSError, TimeoutError):
            self._log(f"{name} no connection")
            return retry_after
        try:
            lines = [f"POST {fleet_lib.PATH}{self.number} HTTP/1.1"]
            lines += [f"{key}: {value}" for key, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            async with asyncio.timeout(left_s):
                first, received = await http._read_head(reader)
                status = int(first.split(" ")[1])
                stated_s = float(received.get("retry-after", 0))
                retry_after = max(stated_s, PAUSE_S)
                if status == 200:
                    self._begun_as = self._begun_as or name
                    breaks = broken if not attempt else asyncio.Event()
                    await self._receive(reader, breaks)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()
        self._log(
            f"{name} answered {status}, has events up to {self.last_id}"
        )
        return retry_after

    async def _receive(self, reader, broken):
        text = b""
        while not broken.is_set():
            size = int(await reader.readline(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                self.complete = True
                return
            text += chunk[:-2]
            *events, text = text.split(b"\n\n")
            for event in events:
                fields = dict(
                    line.split(": ", 1) for line in event.decode().split("\n")
                )
                self.versions[int(fields["id"])] = fields["data"]


async def replace_engines(fleet, notes):
    """Replaces the engines by newer ones: these start before the old leave."""
    old = list(fleet.engines)
    await fleet.add_engines("v2")
    for engine in fleet.engines:
        engine.events, engine.event_interval_s = EVENTS, EVENT_INTERVAL_S
    await asyncio.sleep(0.3)
    for engine in old:
        engine.state = "draining"
        await fleet.store.put(f"servers/{engine.name}", engine.entry())
    notes.append(f"{fleet.now():.3f} the engines of v1 say that they leave")
    await asyncio.sleep(DRAIN_S + 0.2)
    for engine in old:
        await fleet.store.remove(f"servers/{engine.name}")
        engine.stop()
    notes.append(f"{fleet.now():.3f} the engines of v1 have left")


async def run(folder):
    fleet = fleet_lib.Fleet(folder, vms=6, prefills=1, decodes=2)
    notes = []

    def log(text):
        notes.append(f"{fleet.now():.3f} {text}")

    config = fleet_lib.config(7, RATE, TENANT)
    config["routes"][0]["timeoutMs"] = ROUTE_TIMEOUT_MS
    streams = [Stream(fleet, number, log) for number in range(STREAMS)]
    broken = asyncio.Event()
    try:
        await fleet.start_platform(config)
        for engine in fleet.engines:
            engine.events, engine.event_interval_s = EVENTS, EVENT_INTERVAL_S
        fleet.make_routers()
        await fleet.start_routers()
        await asyncio.sleep(3)
        tasks = [asyncio.create_task(item.run(broken)) for item in streams]
        await asyncio.sleep(1.0)
        release = asyncio.create_task(replace_engines(fleet, notes))
        await asyncio.sleep(0.8)
        broken.set()
        if TROUBLE:
            log("SIGKILL of all processes")
            await fleet.stop()
            await asyncio.sleep(0.65)
            for router in fleet.routers:
                router.settings["first_start"] = False
            await fleet.start_routers()
            log("all processes are ready again")
        else:
            log("the clients' connections break")
        await release
        await asyncio.wait(tasks, timeout=LIMIT_S + 5)
    finally:
        await fleet.stop()
    joined = [item for item in streams if len(set(item.versions.values())) > 1]
    begun = sum(bool(item.versions) for item in streams)
    for item in joined:
        numbers = sorted(item.versions)
        text = " ".join(item.versions[number] for number in numbers)
        log(f"stream {item.number} ({len(numbers)} events): {text}")
    broken_rule = len(joined) > ALLOWED
    notes.append(
        f"{begun} streams begun, {sum(item.complete for item in streams)}"
        f" complete, {len(joined)} hold events of two versions"
    )
    notes.append("ORDER is broken" if broken_rule else "ORDER held")
    print("\n".join(notes[-2:]))
    fleet.write_record(HERE / "record.txt", notes)
    if not begun:
        return 2
    return 1 if broken_rule else 0


if __name__ == "__main__":
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(run(temporary))
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
