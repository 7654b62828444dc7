"""Clients that keep their connections and read their answers slowly."""

import asyncio
import dataclasses
from collections.abc import Callable

from review import small_site

# The rule allows so many connections to be closed without an answer.
_ALLOWED_LOSSES = 3
_SMALL_BYTES = 800
_CLIENT_TIMEOUT_S = 14.0
# Smaller than what the system gives by default, as on a phone.
_RECEIVE_BUFFER_BYTES = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What the clients do.

    Attributes:
      clients: Number of clients.
      rounds: Number of large answers that each client asks for.
      answer_bytes: Size of such an answer.
      interval_s: Time from one of them to the next.
      stagger_s: Time from the start of one client to that of the next.
      slow_pause: Returns the wait before a read, in seconds, from the number of
        bytes read so far; used only with the disruption.
    """

    clients: int
    rounds: int
    answer_bytes: int
    interval_s: float
    stagger_s: float
    slow_pause: Callable[[int], float]


@dataclasses.dataclass
class _Counts:
    complete: int = 0
    failed: int = 0
    lost: list[str] = dataclasses.field(default_factory=list)


def _no_pause(size: int) -> float:
    del size
    return 0.0


async def _ask(
    site: small_site.Site, client: small_site.Client, attempt: str, plan: Plan
) -> str:
    """Asks for a large answer on a kept connection; returns what came."""
    pause = plan.slow_pause if small_site.has_trouble() else _no_pause
    try:
        async with asyncio.timeout(_CLIENT_TIMEOUT_S):
            head = await client.send(
                "POST", f"/pickup/{plan.answer_bytes}", attempt, b"slip"
            )
            size = await client.read_body(head.length, pause)
    except (ConnectionError, EOFError):
        return "lost"
    except TimeoutError:
        return "late"
    site.record.write(f"client has {size} of {head.length} bytes of {attempt}")
    if size < head.length:
        return "lost"
    return "complete" if head.status == 200 else "failed"


async def _act(
    site: small_site.Site, number: int, plan: Plan, counts: _Counts
) -> None:
    loop = asyncio.get_running_loop()
    begun_at = loop.time() + number * plan.stagger_s
    client = None
    for turn in range(plan.rounds):
        await asyncio.sleep(
            max(begun_at + turn * plan.interval_s - loop.time(), 0.0)
        )
        if client is None:
            client = small_site.Client(
                site.machines[0], site.record, _RECEIVE_BUFFER_BYTES
            )
            await client.connect()
            # From here on the connection is a kept one.
            head = await client.send(
                "GET", f"/status/{_SMALL_BYTES}", f"s{number}-{turn}"
            )
            await client.read_body(head.length)
        attempt = f"l{number}-{turn}"
        outcome = await _ask(site, client, attempt, plan)
        site.record.write(f"{attempt}: {outcome}")
        match outcome:
            case "complete":
                counts.complete += 1
            case "lost" if site.servers.runs.get(attempt):
                counts.lost.append(attempt)
            case _:
                counts.failed += 1
        if outcome in ("lost", "late"):
            client.close()
            client = None
    if client is not None:
        client.close()


async def play(site: small_site.Site, plan: Plan) -> int:
    """Plays a plan; returns the exit code."""
    machine = site.machines[0]
    await site.start_process(machine)
    await site.until_ready(machine)
    await asyncio.sleep(1.0)
    counts = _Counts()
    await asyncio.gather(
        *(_act(site, number, plan, counts) for number in range(plan.clients))
    )
    if machine.process.returncode is not None:
        site.record.conclude("the process has ended")
        return small_site.NOT_RUN
    site.record.conclude(
        f"complete {counts.complete}, failed or refused {counts.failed}, "
        f"run and then closed without a whole answer {len(counts.lost)}"
    )
    is_broken = len(counts.lost) > _ALLOWED_LOSSES
    site.record.conclude("the rule is broken" if is_broken else "the rule held")
    return small_site.BROKEN if is_broken else small_site.HELD
