"""A small deployment on loopback addresses: the project's daemons, with stand-ins for everything else."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

from clients import ClientVm, Reset
from fabric import Fabric
from servers import Server
from store import Store
from template import render

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
CONTACT_S = 4.0
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "contact_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 4,
    "drain_timeout_ms": 3000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "warmup_overage": 1.5,
    "warmup_slack": 5,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "flow_reorder_ms": 2000,
    "flow_max_s": 60,
}


class NotRun(Exception):
    """The case could not run."""


class Daemon:
    """One of the project's daemons, started with the command of the deploy file."""

    def __init__(self, world, name, zone, ip, ports):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.listen = (ip, ports["data"])
        self.ready = (ip, ports["ready"])
        self.control = (ip, ports["control"])
        self.inner = ports["inner"]
        self.settings = world.folder / f"{name}.yaml"
        self.process = None

    def fields(self):
        world = self.world
        zones = {daemon.zone: "region" for daemon in world.daemons}
        return {
            "node_name": self.name,
            "role": "balancer",
            "machine_class": "frontend",
            "serves": ["frontend", "control_plane"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "zones": zones,
            "listen_addrs": {
                "data_plane_addr": f"{self.ip}:{self.listen[1]}",
                "ready": f"{self.ip}:{self.ready[1]}",
                "control": f"{self.ip}:{self.control[1]}",
            },
            "internal_port_range": [self.inner, self.inner + 15],
            "seeds": [f"{d.control[0]}:{d.control[1]}" for d in world.daemons[:3]],
            "bootstrap": True,
            "limits": {"cpu_cores": 1, "memory_mb": 260, "max_fds": 4100},
            "data_dir": None,
            "discovery": "platform",
            "entry": "announce",
            "heartbeat_interval_ms": round(world.heartbeat_s * 1000),
            "bounds": world.bounds,
            "hash": "steady",
            "forwarding_mode": "echo",
            "platform": {"address": f"{world.store.addr[0]}:{world.store.addr[1]}", "reads_per_s": 2000},
        }

    def start(self):
        template = (ROOT / "platform/settings.jsonc").read_text()
        self.settings.write_text(render(template, self.fields()))
        self.log = open(self.world.folder / f"{self.name}.log", "ab")
        program = ROOT / "target/release/foxtailhinge"
        command = [str(program), "--settings", str(self.settings)]
        env = {"PATH": os.environ.get("PATH", ""), "FOXTAILHINGE_CONFIG": str(self.settings)}
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.world.note("daemon_started", daemon=self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.world.note("daemon_signalled", daemon=self.name, signal=signal.Signals(number).name)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class World:
    def __init__(self, folder, record, zones, bounds=None):
        self.folder = Path(folder)
        self.record = record
        self.began = time.monotonic()
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.heartbeat_s = 1.2
        self.net = f"127.{random.randrange(16, 250)}"
        self.ports = self._free_ports()
        self.data_port = self.ports["data"]
        self.store = Store((f"{self.net}.0.1", self.ports["store"]))
        self.store_is_up = True
        self.daemons = []
        for zone, count in zones.items():
            for _ in range(count):
                number = len(self.daemons) + 1
                ip = f"{self.net}.1.{number}"
                self.daemons.append(Daemon(self, f"frontend-{zone}-{number}", zone, ip, self.ports))
        self.fabric = Fabric(self.daemons)
        self.servers, self.clients, self.tasks = [], [], []
        self.openings = []  # (time, server, client's first SYN time)
        self.open_flows = {}
        self.resets = []
        self.server_resets = set()
        self.arrived, self.ran, self.answered = {}, {}, 0

    def _free_ports(self):
        for _ in range(200):
            base = random.randrange(10_000, 30_000)
            ports = {"data": base, "ready": base + 1, "control": base + 2, "store": base + 3, "inner": base + 4}
            if all(_is_free(f"{self.net}.{third}.1", base + offset) for offset in range(20) for third in (0, 1, 2, 3)):
                return ports
        raise NotRun("no free ports")

    def now(self):
        return time.monotonic() - self.began

    def note(self, event, **fields):
        line = {"t": round(self.now(), 4), "event": event, **fields}
        self.record.write(json.dumps(line) + "\n")

    def add_server(self, service, zone, server_id, **options):
        addr = (f"{self.net}.2.{len(self.servers) + 1}", self.data_port)
        server = Server(self, service, zone, addr, server_id, **options)
        self.servers.append(server)
        return server

    def add_clients(self, zone, count):
        added = [ClientVm(self, f"{self.net}.3.{len(self.clients) + n + 1}", zone) for n in range(count)]
        self.clients += added
        return added

    def route(self, name, ip, port, service, kind, timeout_ms=1500, target_ms=250, priority=1):
        return {
            "name": name,
            "hostname": ip,
            "prefix": f"/{port}/",
            "type": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms,
            "priority": priority,
            "service": service,
            "max_attempts": 2,
        }

    def configure(self, version, routes, warmup_per_s=2.0, warmup_s=2.0):
        services = sorted({route["service"] for route in routes})
        services = [
            {
                "name": name,
                "health_check_path": "/health",
                "max_connections": 2000,
                "protocol": "h1",
                "tls": False,
                "warmup_s": warmup_s,
                "warmup_per_s": warmup_per_s,
            }
            for name in services
        ]
        limits = {"idle_timeout_ms": 15000}
        body = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.put("op/config", body)

    def put(self, key, value):
        revision = self.store.put(key, value)
        self.note("acknowledged", key=key, revision=revision, era=self.store.era)
        return self.now()

    async def start(self):
        await self.store.start()
        for part in self.servers + self.clients:
            await part.bind()
        for server in self.servers:
            if not getattr(server, "starts_later", False):
                server.start_boot(warmup_s=0.0)
        for daemon in self.daemons:
            daemon.start()
        self.tasks.append(asyncio.create_task(self.fabric.probe()))

    async def wait_until_ready(self, limit_s=15.0):
        until = self.now() + limit_s
        while any(misses for misses in self.fabric.misses.values()):
            if self.now() > until:
                return False
            await asyncio.sleep(0.1)
        return True

    async def sleep_until(self, at):
        await asyncio.sleep(max(0.0, at - self.now()))

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def one_request(self, vm, route, request_id, timeout_s=2.0):
        """Opens a flow, sends one request and closes the flow; a flow that does not open is tried twice more."""
        for attempt in range(3):
            flow = vm.flow(route)
            self.note("client_opens", id=request_id, client=vm.ip, port=flow.port, attempt=attempt)
            try:
                await flow.open()
                answer = await flow.request(_request(request_id), timeout_s)
            except Reset:
                self.note("client_attempt_ended", id=request_id, opened=flow.is_open)
                if flow.is_open:
                    return None
                continue
            flow.close()
            if answer is not None:
                self.answered += 1
                self.note("client_answered", id=request_id, status=answer[9:12].decode())
                return answer
            return None
        return None

    async def traffic(self, vms, route, per_s, until):
        """Sends requests at a steady rate, each on a flow of its own."""
        number = 0
        began = self.now()
        while self.now() < until:
            self.spawn(self.one_request(random.choice(vms), route, f"{route[1]}-{number}"))
            number += 1
            await self.sleep_until(began + number / per_s)

    # What the servers see.

    def opening(self, server, packet):
        self.openings.append((self.now(), server, packet.ack))
        self.note("server_took_opening", server=server.name, client=str(packet.src), port=packet.sport, copy=packet.ack, cold=server.is_cold())

    def flow_opened(self, server, key):
        self.open_flows[_named(key)] = server

    def flow_closed(self, key):
        self.open_flows.pop(_named(key), None)

    def server_reset(self, server, key):
        self.server_resets.add(_named(key))
        self.note("server_resets", server=server.name, client=str(key[0]), port=key[1])

    def request_arrived(self, server, packet):
        self.note("server_got_request", server=server.name, id=_id_of(packet.data))

    def request_ran(self, server, packet):
        request_id = _id_of(packet.data)
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        self.note("server_runs", server=server.name, id=request_id)

    # What the clients see.

    def flow_was_reset(self, flow, packet):
        is_own = packet.sum == 0
        server = self.open_flows.get(flow.key)
        self.note(
            "client_got_reset",
            client=flow.vm.ip,
            port=flow.port,
            by="system" if is_own else "server",
            open_at=server.name if server else None,
        )
        self.resets.append((self.now(), flow, server, is_own))

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.end()


def _named(key):
    src, sport, dst, dport = key
    return (str(src), sport, str(dst), dport)


def _request(request_id):
    return f"GET /x HTTP/1.1\r\nRequest-Id: {request_id}\r\n\r\n".encode()


def _id_of(data):
    for line in data.split(b"\r\n"):
        if line.startswith(b"Request-Id: "):
            return line[12:].decode()
    return None


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def run(case, folder, zones, bounds=None):
    """Runs a case, an async function of the world and of whether there is trouble; exits with its verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / "target/release/foxtailhinge").exists():
        print("not run: the daemon is not built")
        sys.exit(NOT_RUN)
    with tempfile.TemporaryDirectory(prefix="review-") as temporary, open(Path(folder) / "record.txt", "w") as record:

        async def play():
            world = World(temporary, record, zones, bounds)
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, _cancel_all)
            try:
                verdict = await asyncio.wait_for(case(world, trouble), 110)
            except (NotRun, asyncio.TimeoutError, asyncio.CancelledError) as err:
                world.note("not_run", why=str(err) or type(err).__name__)
                verdict = NOT_RUN
            except Exception:
                traceback.print_exc()
                world.note("not_run", why="the case failed; see the output")
                verdict = NOT_RUN
            finally:
                await world.end()
            if os.environ.get("LOGS"):
                for log in world.folder.glob("*.log"):
                    Path(os.environ["LOGS"], log.name).write_bytes(log.read_bytes())
            world.note("verdict", trouble=trouble, exit=verdict)
            return verdict

        verdict = asyncio.run(play())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[verdict])
    sys.exit(verdict)


def _cancel_all():
    for task in asyncio.all_tasks():
        task.cancel()
