"""EVAC: an evacuation right after the return of the store from a copy gets the revision of one that has ended."""

import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

import asyncio

from world import BROKEN, CONTACT_S, HELD, NotRun, run

ROUTE = ("127.250.0.1", 443)
COPY_AT, FIRST_AT, FIRST_S, AWAY_AT, AWAY_S, WATCHED_S = 7.0, 7.5, 2.0, 10.5, 1.0, 20.0
EVACUATION_S = 5.0


async def case(world, trouble):
    route = world.route("clear-req", *ROUTE, "desk-api", "non_idempotent", timeout_ms=2000, target_ms=300)
    for number, zone in enumerate("aabb"):
        world.add_server("desk-api", zone, 0x55E0000001 + number)
    callers = world.add_clients("a", 6) + world.add_clients("b", 6)
    world.configure(1, [route])
    await world.start()
    if not await world.wait_until_ready():
        raise NotRun("the daemons are not ready")
    end = AWAY_AT + AWAY_S + WATCHED_S
    traffic = world.spawn(world.traffic(callers, ROUTE, 30, end))
    await world.sleep_until(COPY_AT)
    world.store.take_copy()
    world.note("store_copied", revision=world.store.revision)
    await world.sleep_until(FIRST_AT)
    world.put("op/evacuate/a", {})
    await world.sleep_until(FIRST_AT + FIRST_S)
    world.note("removed", key="op/evacuate/a", revision=world.store.remove("op/evacuate/a"))
    await world.sleep_until(AWAY_AT)
    if trouble:
        world.store_is_up = False
        await world.store.go_away()
        world.note("store_away")
    await world.sleep_until(AWAY_AT + AWAY_S)
    if trouble:
        await world.store.return_from_copy()
        world.store_is_up = True
        world.note("store_back_from_copy", revision=world.store.revision, era=world.store.era)
    # The on-call engineer's write, which the store did not take while it was away, is tried again until it does.
    back = world.put("op/evacuate/a", {})
    await traffic
    since = back + max(EVACUATION_S, CONTACT_S)
    late = [(t, server.name) for t, server, _ in world.openings if server.zone == "a" and since < t]
    world.note("result", since=since, until=end, openings_in_the_evacuated_zone=len(late), first=late[:3])
    return BROKEN if late else HELD


run(case, Path(__file__).resolve().parent, {"a": 2, "b": 2})
