"""FAILBACK: a server crashes and starts again under its id, cold, while the store is down."""

import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from world import BROKEN, HELD, NotRun, run

ROUTE = ("127.250.0.1", 443)
WARMUP_S, WARMUP_PER_S = 2.0, 2.0
DOWN_AT, CRASH_AT, CRASH_S, BACK_AT, END = 12.0, 12.1, 2.5, 16.5, 20.0


async def case(world, trouble):
    route = world.route("clear-req", *ROUTE, "desk-api", "non_idempotent", timeout_ms=2000, target_ms=300)
    servers = [world.add_server("desk-api", zone, 0x54D0000001 + n, warmup_s=WARMUP_S) for n, zone in enumerate("aaaabb")]
    callers = world.add_clients("a", 12)
    world.configure(1, [route], warmup_per_s=WARMUP_PER_S, warmup_s=WARMUP_S)
    await world.start()
    if not await world.wait_until_ready():
        raise NotRun("the daemons are not ready")
    await world.sleep_until(4.0)
    traffic = world.spawn(world.traffic(callers, ROUTE, 80, END))
    await world.sleep_until(DOWN_AT)
    if trouble:
        world.store_is_up = False
        world.store.go_silent()
        world.note("store_down")
    await world.sleep_until(CRASH_AT)
    servers[0].crash()
    await world.sleep_until(CRASH_AT + CRASH_S)
    servers[0].start_boot()
    started = world.now()
    await world.sleep_until(BACK_AT)
    if trouble:
        world.store.answer_again()
        world.store_is_up = True
        world.note("store_up")
    await traffic
    limit = WARMUP_PER_S * world.bounds["warmup_overage"] + world.bounds["warmup_slack"]
    cold = [t for t, server, copy in world.openings if server is servers[0] and copy == 0 and started <= t < started + WARMUP_S]
    most = max((sum(1 for other in cold if t <= other < t + 1.0) for t in cold), default=0)
    world.note("result", openings_while_cold=len(cold), most_in_a_second=most, limit=limit)
    return BROKEN if most > limit else HELD


run(case, Path(__file__).resolve().parent, {"a": 2, "b": 2})
