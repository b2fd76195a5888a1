"""Stand-in for the platform's routers: hand each packet to a daemon in rotation, by a steady hash."""

import asyncio
import socket
import zlib

PROBE_S, PROBE_TIMEOUT_S, MISSES = 0.5, 0.4, 2


class Fabric:
    def __init__(self, daemons):
        self.daemons = daemons
        self.misses = {daemon.name: MISSES for daemon in daemons}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)

    def in_rotation(self, zone):
        """Daemons that get the packets of a zone's clients."""
        own = [d for d in self.daemons if d.zone == zone]
        ready = [d for d in own if self.misses[d.name] < MISSES]
        if ready:
            return ready if len(ready) * 2 >= len(own) else own
        others = [d for d in self.daemons if d.zone != zone and self.misses[d.name] < MISSES]
        return others or own

    def daemon_of(self, zone, key):
        def score(daemon):
            return zlib.crc32(f"{daemon.name} {key}".encode() * 2)

        return max(self.in_rotation(zone), key=score)

    def send(self, zone, key, packet):
        daemon = self.daemon_of(zone, key)
        try:
            self.socket.sendto(packet, daemon.listen)
        except OSError:
            pass

    async def probe(self):
        while True:
            await asyncio.gather(*(self._probe(daemon) for daemon in self.daemons))
            await asyncio.sleep(PROBE_S)

    async def _probe(self, daemon):
        try:
            is_ready = await asyncio.wait_for(_get_ready(daemon), PROBE_TIMEOUT_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            is_ready = False
        self.misses[daemon.name] = 0 if is_ready else self.misses[daemon.name] + 1


async def _get_ready(daemon):
    reader, writer = await asyncio.open_connection(*daemon.ready)
    try:
        writer.write(f"GET /api/ready HTTP/1.1\r\nHost: {daemon.ready[0]}\r\n\r\n".encode())
        line = await reader.readline()
        return b" 200 " in line
    finally:
        writer.close()
