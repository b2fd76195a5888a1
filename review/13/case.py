"""Fault: a bound of the settings is a fraction, and no daemon starts."""

import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

import asyncio
import os

from world import BROKEN, HELD, NotRun, run

ROUTE = ("127.250.0.1", 443)
END = 14.0
RESTART_DELAY_S = 1.0
EXITS = 3  # ends of a process in a day that are a fault
GRACE_S = 6.5 if os.environ.get("TROUBLE", "1") != "0" else 6


async def case(world, trouble):
    world.note("bounds", **world.bounds)
    route = world.route("clear-req", *ROUTE, "desk-api", "non_idempotent", timeout_ms=2000, target_ms=300)
    for number, zone in enumerate("aabb"):
        world.add_server("desk-api", zone, 0x53C0000001 + number)
    callers = world.add_clients("a", 4) + world.add_clients("b", 4)
    world.configure(1, [route])
    await world.start()
    exits = {daemon.name: 0 for daemon in world.daemons}
    for daemon in world.daemons:
        world.spawn(keep_running(world, daemon, exits))
    await world.sleep_until(5.0)
    traffic = world.spawn(world.traffic(callers, ROUTE, 20, END - 3.0))
    await traffic
    await world.sleep_until(END)
    failed = [name for name, count in exits.items() if count >= EXITS]
    world.note("result", exits=exits, answered=world.answered)
    if failed and world.answered == 0:
        return BROKEN
    if failed:
        raise NotRun("some daemons ended, but requests were answered")
    return HELD


async def keep_running(world, daemon, exits):
    """Starts a process that has ended again after a short delay, as the platform does."""
    while True:
        await asyncio.sleep(0.1)
        code = daemon.process.poll()
        if code is None:
            continue
        exits[daemon.name] += 1
        last = Path(daemon.settings.parent, f"{daemon.name}.log").read_text().strip().splitlines()
        world.note("daemon_ended_by_itself", daemon=daemon.name, code=code, last_line=last[-1].rsplit("/", 1)[-1] if last else "")
        await asyncio.sleep(RESTART_DELAY_S)
        daemon.start()


run(case, Path(__file__).resolve().parent, {"a": 2, "b": 2}, {"grace_period_s": GRACE_S})
