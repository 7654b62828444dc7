"""A small deployment: a store, engines, VMs and one tenant's clients."""

import asyncio
import random
import time

from review import stand_in_http as http
from review import stand_in_platform as platform
from review import stand_in_routers as routers

HOST_NAME = "desk.example"
PATH = "/brief/"
KEY = "banfqasnmgkcuyj8pjbv"
ZONES = ("nyarugenge", "nyarugenge", "gasabo", "gasabo", "kicukiro", "remera")
CONTRACTS = [
    *("base", "drain", "config", "cost", "retry", "recover", "health"),
    *("pool", "split", "stream", "engine", "tenants", "quota", "platform"),
]
# Bounds of the pages' sheets: the small deployments', and for keys and quotas
# those of the sheets that have them.
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 52,
    "key_revocation_ms": 5000,
    "quota_overage": 0.25,
    "quota_slack": 190000,
    "grace_s": 8,
}


def config(version, rate, tenant):
    """Returns the operator's configuration with one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-brief",
                "host": HOST_NAME,
                "pathPrefix": PATH,
                "type": "streaming",
                "timeoutMs": 14000,
                "sloMs": 900,
                "priority": 1,
                "service": "brief",
                "maxAttempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "itlTargetMs": 300,
            }
        ],
        "services": [
            {
                "name": "brief",
                "healthPath": "/healthz",
                "maxConns": 680,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 200000,
                    "kvTokenBytes": 18432,
                    "linkMbps": 370000.0,
                    "stride": 8,
                    "kvHoldS": 0.5,
                    "switchS": 6.0,
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": tenant,
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "generation",
                "uncachedTokens": 200,
                "ratePerS": rate,
                "burst": rate,
            }
        ],
    }


class Fleet:
    """The deployment; times are seconds since its creation.

    Attributes:
      sent: Requests sent: time, id, VM, tokens.
      answered: Answers: time, id, status.
    """

    def __init__(self, folder, *, vms, prefills, decodes):
        self._begun_at = time.monotonic()
        self.store = platform.Store()
        self.engines = []
        self.routers = []
        self.sent = []
        self.answered = []
        self._folder = folder
        self._vms = vms
        self._stages = ["prefill"] * prefills + ["decode"] * decodes
        self._random = random.Random(1)
        self._numbers = iter(range(10**9))
        self._tasks = set()

    def now(self):
        return time.monotonic() - self._begun_at

    async def start_platform(self, settings):
        """Starts store and engines; `settings` is the configuration."""
        await self.store.start()
        await self.add_engines()
        await self.store.put("op/config", settings)

    async def add_engines(self, version="v1"):
        """Starts a set of engines of a software version and lists them."""
        for stage in self._stages:
            number = len(self.engines)
            engine = platform.Engine(
                f"i-{number:08x}",
                "brief",
                stage,
                ZONES[number % len(ZONES)],
                self.now,
            )
            engine.version = version
            await engine.start()
            self.engines.append(engine)
            await self.store.put(f"servers/{engine.name}", engine.entry())

    def make_routers(self):
        hosts = [f"127.0.1.{number + 1}" for number in range(self._vms)]
        public, ready, peer, control = (
            routers.free_port(hosts) for _ in range(4)
        )
        for number, host in enumerate(hosts):
            self.routers.append(
                routers.Router(
                    self._folder,
                    {
                        "vm": f"edge-{number + 1}",
                        "availability_zone": ZONES[number % len(ZONES)],
                        "public": f"{host}:{public}",
                        "ready": f"{host}:{ready}",
                        "peer_ports": [peer, peer + 15],
                        "seeds": [f"{item}:{control}" for item in hosts[:3]],
                        "store": self.store.address,
                        "processor_share": 0.537,
                        "processor_speed": 2,
                        "memory_mb": 150,
                        **BOUNDS,
                        "first_start": True,
                        "terms": CONTRACTS,
                    },
                )
            )

    async def start_routers(self):
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await router.until_ready()

    async def send(self, router, tokens_in, tokens_out):
        """Sends one request to a VM and reads its answer."""
        number = next(self._numbers)
        attempt = f"{number:016x}"
        tokens = tokens_in + tokens_out
        self.sent.append((self.now(), attempt, router.name, tokens))
        status, _, _ = await http.call(
            router.host,
            router.port,
            "POST",
            f"{PATH}{number}",
            {
                "Host": HOST_NAME,
                "Attempt-Id": attempt,
                "Model": "m",
                "Token-Usage": f"{tokens_in},{tokens_out}",
                "Length-Hint": tokens_out,
                "Prefix-Hash": f"{number + 1:08x}:{tokens_in}",
                "Deadline-Ms": 14000,
                "Authorization": f"Bearer {KEY}",
            },
            b"x" * 200,
            14.0,
        )
        self.answered.append((self.now(), attempt, status))

    async def press(self, per_s, for_s, vms, tokens_in=3200, tokens_out=67):
        """Sends requests at a rate, each to a random one of some VMs."""
        end = self.now() + for_s
        due = self.now()
        while due < end:
            await asyncio.sleep(max(due - self.now(), 0))
            task = asyncio.create_task(
                self.send(self._random.choice(vms()), tokens_in, tokens_out)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due += 1 / per_s

    async def until_answered(self, timeout_s):
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def stop(self):
        for router in self.routers:
            await router.kill()

    def runs(self):
        return sorted(run for engine in self.engines for run in engine.runs)

    def orders(self):
        return sorted(
            (at, engine.name, peer, order)
            for engine in self.engines
            for at, peer, order in engine.orders
        )

    def write_record(self, path, notes):
        lines = [*notes, "", "sent: time, id, VM, tokens"]
        lines += [f"{a:.3f} {b} {c} {d}" for a, b, c, d in self.sent]
        lines += ["", "answered: time, id, status"]
        lines += [f"{a:.3f} {b} {c}" for a, b, c in self.answered]
        lines += ["", "run: time, id, tenant, tokens"]
        lines += [f"{a:.3f} {b} {c} {d}" for a, b, c, d in self.runs()]
        lines += ["", "orders: time, engine, sender's address, body"]
        lines += [f"{a:.3f} {b} {c} {d}" for a, b, c, d in self.orders()]
        path.write_text("\n".join(lines) + "\n")
