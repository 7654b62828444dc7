"""The engines get a new software version, and nothing else happens."""

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
VMS, STREAMS = 10, 24
# The longest wait that the operator wants; clients wait for 14 s.
ROUTE_TIMEOUT_MS = 7_000
PAUSE_S = 2.0
ALLOWED = 2


async def run(folder):
    fleet = fleet_lib.Fleet(folder, vms=VMS, prefills=2, decodes=4)
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
        near, others = fleet.routers[:2], fleet.routers[2:]
        streams = [
            streams_lib.Stream(
                fleet,
                n,
                [near[n % len(near)], others[n % len(others)]],
                log,
                PAUSE_S,
            )
            for n in range(STREAMS)
        ]
        tasks = []
        for item in streams:
            tasks.append(asyncio.create_task(item.run(broken)))
            await asyncio.sleep(0.03)
        await asyncio.sleep(1.0)
        if TROUBLE:
            await streams_lib.replace_engines(fleet, notes)
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
