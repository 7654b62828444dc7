"""Stand-ins of the platform's store and of its engines."""

import asyncio
import base64
import json
import time

from review import stand_in_http as http


class Store:
    """The metadata store: listings and watches over one revision counter."""

    def __init__(self):
        self.address = ""
        self._revision = 100
        self._items = {}
        self._events = []
        self._changed = asyncio.Condition()

    async def start(self):
        server = await http.serve(self._handle, "127.0.0.1")
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def put(self, key, fields):
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(fields).encode()).decode(),
            "revision": self._revision,
            "created": self._items.get(key, {}).get("created", self._revision),
            "lease": 0,
        }
        self._items[key] = item
        await self._tell(item)

    async def remove(self, key):
        self._revision += 1
        del self._items[key]
        await self._tell(
            {"key": key, "revision": self._revision, "removed": True}
        )

    async def _tell(self, event):
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request):
        prefix = request.query.get("pathPrefix", "")
        if request.path == "/kv-range":
            after = request.query.get("after", "")
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(prefix) and key > after
            ]
            fields = {"items": items[:500], "truncated": len(items) > 500}
        elif request.path == "/kv-watch":
            after = int(request.query["after"])
            wait_s = int(request.query["waitMs"]) / 1000
            fields = {"events": await self._wait(prefix, after, wait_s)}
        else:
            return http.response(404)
        body = json.dumps({**fields, "asOf": self._revision}).encode()
        return http.response(200, body, {"Content-Type": "application/json"})

    async def _wait(self, prefix, after, wait_s):
        def found():
            return [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(found)
        except TimeoutError:
            pass
        return found()


class Engine:
    """A model engine of one stage; it keeps a record of what reaches it.

    Attributes:
      runs: Requests run: time, id, tenant, tokens (prompt and maximum output).
      orders: Orders: time, peer address, body.
      version: Version of its software; each event names it.
      state: `ready` or `draining`, as in its entry.
    """

    def __init__(self, name, service, stage, zone, clock, host="127.0.0.1"):
        self.name, self.service, self.stage, self.zone = (
            name,
            service,
            stage,
            zone,
        )
        self.address = ""
        self.runs = []
        self.orders = []
        self.version = "v1"
        self.state = "ready"
        self.slots = 64
        self.events = 7
        self.event_interval_s = 0.03
        self._clock = clock
        self._host = host
        self._handles = 0
        self._seq_no = 0
        self._server = None
        self._writers = set()
        self._born = int(time.time() * 1000)

    async def start(self):
        self._server = await http.serve(self._handle, self._host)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def stop(self):
        """Ends: its port closes, and what it still runs is cut."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seqNo": self._seq_no,
            "born": self._born,
        }

    async def _handle(self, request):
        expected = request.headers.get("expected-instance")
        own = {"Instance-Id": self.name}
        if expected not in (None, self.name):
            return http.response(421, b"", {**own, "Not-Executed": 1})
        if request.path == "/report":
            report = {
                "stage": self.stage,
                "busy": False,
                "seqNo": self._seq_no,
                "queued": 0,
                "active": 0,
                "runs": [],
            }
            return http.response(200, json.dumps(report).encode())
        if request.path.startswith("/kv-handle/"):
            return http.response(200)
        if request.path == "/kv-list":
            return http.response(200, b'{"epoch":1,"next":1,"held":[]}')
        if request.path == "/order":
            return self._order(request)
        return await self._run(request)

    def _order(self, request):
        order = json.loads(request.body)
        peer = request.writer.get_extra_info("peername")[0]
        self.orders.append((self._clock(), peer, order))
        if order.get("stage") == self.stage:
            return http.response(200)
        self._seq_no += 1
        return http.response(202)

    async def _run(self, request):
        attempt = request.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt}
        if not attempt:
            return http.response(400, b"", {"Not-Executed": 1})
        if request.headers.get("stage") == "prefill":
            await asyncio.sleep(0.02)
            self._handles += 1
            tokens = int(request.headers["token-usage"].split(",")[0])
            body = {
                "kvHandle": f"{self.name}{self._handles:08x}",
                "tokens": tokens,
                "version": 1,
            }
            return http.response(200, json.dumps(body).encode(), echo)
        usage = request.headers.get("token-usage", "0,0")
        tokens = sum(map(int, usage.split(",")))
        tenant = request.headers.get("tenant", "")
        self.runs.append((self._clock(), attempt, tenant, tokens))
        fields = {
            **echo,
            "Instance-Signature": f"sig.{self.name}.{attempt}",
            "Content-Type": "text/event-stream",
            "Weight-Versions": 1,
            "Transfer-Encoding": "chunked",
        }
        request.writer.write(http.head(200, fields))
        begin = int(request.headers.get("last-event-id", "0") or 0)
        self._writers.add(request.writer)
        try:
            for number in range(begin + 1, self.events + 1):
                event = f"id: {number}\ndata: {self.version}\n\n".encode()
                request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await request.writer.drain()
                await asyncio.sleep(self.event_interval_s)
        finally:
            self._writers.discard(request.writer)
        return b"0\r\n\r\n"
