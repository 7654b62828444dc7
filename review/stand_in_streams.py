"""Clients that take their streams up again, and a release of the engines."""

import asyncio

from review import stand_in_fleet as fleet_lib
from review import stand_in_http as http

# As on the small sheets: the clients' time limit, and one more try.
LIMIT_S = 14.0
RETRIES = 1
# Streams last 5 s.
EVENTS, EVENT_INTERVAL_S = 25, 0.2
# `drainMs` of the small sites.
DRAIN_S = 2.0


class Stream:
    """One stream, over the client attempts that its client makes.

    Args:
      fleet: The deployment.
      number: Number of the stream.
      routers: The VMs that the attempts go to, in turn.
      log: Receives a line for each step.
      pause_s: How long its client waits before it tries again.

    Attributes:
      versions: Software version of each event received, by its id.
    """

    def __init__(self, fleet, number, routers, log, pause_s):
        self.versions = {}
        self.number = number
        self._fleet = fleet
        self._routers = routers
        self._log = log
        self._pause_s = pause_s
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
        router = self._routers[attempt % len(self._routers)]
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
        status, wait_s = 0, self._pause_s
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    router.host, router.port
                )
        except (OSError, TimeoutError):
            self._log(f"{name} no connection")
            return self._pause_s
        try:
            lines = [f"POST {fleet_lib.PATH}{self.number} HTTP/1.1"]
            lines += [f"{key}: {value}" for key, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            async with asyncio.timeout(left_s):
                first, received = await http._read_head(reader)
                status = int(first.split(" ")[1])
                stated_s = float(received.get("retry-after", 0))
                wait_s = max(stated_s, self._pause_s)
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
        return wait_s

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
    set_pace(fleet.engines)
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


def set_pace(engines):
    """Sets how long the engines' streams are."""
    for engine in engines:
        engine.events, engine.event_interval_s = EVENTS, EVENT_INTERVAL_S


def report(streams, log):
    """Logs the streams of two versions and returns their number."""
    joined = [s for s in streams if len(set(s.versions.values())) > 1]
    for item in joined:
        numbers = sorted(item.versions)
        text = " ".join(item.versions[number] for number in numbers)
        log(f"stream {item.number} ({len(numbers)} events): {text}")
    begun = sum(bool(item.versions) for item in streams)
    log(
        f"{begun} streams begun, {sum(item.complete for item in streams)}"
        f" complete, {len(joined)} hold events of two versions"
    )
    return len(joined)
