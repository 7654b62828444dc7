"""All processes are killed while the engines get a new software version."""

import asyncio
import os
import pathlib
import sys
import tempfile
import traceback

from review import stand_in_fleet as fleet_lib
from review import stand_in_streams as streams_lib

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = pathlib.Path(__file__).resolve().parent
TENANT, RATE = "huka270", 1_000_000
STREAMS = 12
# The longest wait that the operator wants; clients wait for 14 s.
ROUTE_TIMEOUT_MS = 7_000
# The machines are back before the clients try again.
PAUSE_S = 5.0
ALLOWED = 2


async def run(folder):
    fleet = fleet_lib.Fleet(folder, vms=6, prefills=1, decodes=2)
    notes = []

    def log(text):
        notes.append(f"{fleet.now():.3f} {text}")

    config = fleet_lib.config(7, RATE, TENANT)
    config["routes"][0]["timeoutMs"] = ROUTE_TIMEOUT_MS
    broken = asyncio.Event()
    try:
        await fleet.start_platform(config)
        streams_lib.set_pace(fleet.engines)
        fleet.make_routers()
        await fleet.start_routers()
        await asyncio.sleep(3)
        vms = fleet.routers
        streams = [
            streams_lib.Stream(
                fleet,
                n,
                [vms[n % len(vms)], vms[(n + 1) % len(vms)]],
                log,
                PAUSE_S,
            )
            for n in range(STREAMS)
        ]
        tasks = [asyncio.create_task(item.run(broken)) for item in streams]
        await asyncio.sleep(1.0)
        release = asyncio.create_task(
            streams_lib.replace_engines(fleet, notes)
        )
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
        await asyncio.wait(tasks, timeout=streams_lib.LIMIT_S + 5)
    finally:
        await fleet.stop()
    broken_rule = streams_lib.report(streams, log) > ALLOWED
    notes.append("ORDER is broken" if broken_rule else "ORDER held")
    print("\n".join(notes[-2:]))
    fleet.write_record(HERE / "record.txt", notes)
    if not any(item.versions for item in streams):
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
