"""One VM is stopped and started while one tenant sends more than usual."""

import asyncio
import os
import pathlib
import sys
import tempfile
import traceback

from review import stand_in_fleet as fleet_lib

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = pathlib.Path(__file__).resolve().parent
TENANT = "huka270"
# The smallest limit of the sheets' tenants; 1.8 times what it sends as a rule.
RATE = BURST = 47_000
USUAL = RATE / 1.8
HOT_X, HOT_S = 6.0, 11.0
TOKENS_IN, TOKENS_OUT = 3200, 67
WINDOW_S, OVERAGE, SLACK = 8.0, 0.25, 190_000
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
# The VM that counts this tenant's usage for all VMs. A rolling restart stops
# each VM in turn, and so this one too.
STOPPED = 1
STOP_AFTER_S = 2.0
# SIGTERM as in a rolling restart; SIGNAL=9 kills the process instead.
SIGNAL = int(os.environ.get("SIGNAL", "15"))
RESTART_S = 0.5


def most_in_a_window(sent, runs):
    """Returns the most tokens both sent and run within one window."""
    sent_at = {attempt: at for at, attempt, _, _ in sent}
    begun = sorted((sent_at[a], at, tokens) for at, a, _, tokens in runs)
    best = (0, 0.0)
    for start, _, _ in begun:
        used = sum(
            tokens
            for sent, ran, tokens in begun
            if sent >= start and ran <= start + WINDOW_S
        )
        best = max(best, (used, start))
    return best


async def restart(fleet, router, up, notes):
    """Stops a VM and starts it again; it takes requests while it is ready."""
    notes.append(f"{fleet.now():.3f} signal {SIGNAL} to {router.name}")
    router.signal(SIGNAL)
    up.remove(router)
    await router.ended()
    notes.append(f"{fleet.now():.3f} {router.name} has ended")
    await asyncio.sleep(RESTART_S)
    await router.start()
    await router.until_ready()
    up.append(router)
    notes.append(f"{fleet.now():.3f} {router.name} is ready again")


async def run(folder):
    fleet = fleet_lib.Fleet(folder, vms=6, prefills=3, decodes=6)
    notes = []
    try:
        await fleet.start_platform(fleet_lib.config(7, RATE, TENANT))
        fleet.make_routers()
        await fleet.start_routers()
        await asyncio.sleep(3)
        up = list(fleet.routers)
        per_request = TOKENS_IN + TOKENS_OUT
        usual = asyncio.create_task(
            fleet.press(USUAL / per_request, 20.0, lambda: up)
        )
        await asyncio.sleep(4)
        notes.append(f"{fleet.now():.3f} the tenant sends {HOT_X} x its usual")
        hot = asyncio.create_task(
            fleet.press(
                USUAL * (HOT_X - 1) / per_request, HOT_S, lambda: up
            )
        )
        await asyncio.sleep(STOP_AFTER_S)
        if TROUBLE:
            await restart(fleet, fleet.routers[STOPPED], up, notes)
        await hot
        await usual
        await fleet.until_answered(15)
    finally:
        await fleet.stop()
    used, start = most_in_a_window(fleet.sent, fleet.runs())
    broken = used > ALLOWED
    ends = {}
    for _, _, status in fleet.answered:
        ends[status] = ends.get(status, 0) + 1
    notes += [
        f"answers by status: {ends}",
        f"most tokens in {WINDOW_S} s: {used} from {start:.3f} on; "
        f"allowed: {ALLOWED:.0f}",
        "QUOTA is broken" if broken else "QUOTA held",
    ]
    print("\n".join(notes))
    fleet.write_record(HERE / "record.txt", notes)
    if not fleet.runs():
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(run(temporary))
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
