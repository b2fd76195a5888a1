"""Stand-in for a client VM: opens flows through the fabric, as PROTOCOL.md describes it."""

import asyncio
import random

from packets import ACK, FIN, RESET_WINDOW, RST, SYN, decode, distance, encode, is_genuine, is_own_reset

SYN_AT_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RTO_S, RTO_MAX_S = 0.2, 1.6


class Reset(Exception):
    """The flow was reset, or never opened."""


class ClientVm(asyncio.DatagramProtocol):
    """One client address with many flows."""

    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone = world, ip, zone
        self.flows = {}
        self.next_port = random.randrange(20_000, 40_000)

    async def bind(self):
        loop = asyncio.get_running_loop()
        addr = (self.ip, self.world.data_port)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=addr)

    def flow(self, route):
        self.next_port += 1
        return ClientFlow(self, self.next_port, route)

    def datagram_received(self, datagram, _):
        packet = decode(datagram)
        if packet is None:
            return
        flow = self.flows.get(packet.dport)
        if not (is_genuine(packet) or is_own_reset(packet)):
            self.world.note("client_got_changed_packet", client=self.ip)
            return
        if flow:
            flow.received(packet)


class ClientFlow:
    """One flow; `request` may be called again and again on it."""

    def __init__(self, vm, port, route):
        self.vm, self.port, self.route = vm, port, route
        self.echo = 0
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.is_open = False
        self.is_reset = False
        self.answer = None
        self.wake = asyncio.Event()

    @property
    def key(self):
        return (self.vm.ip, self.port, *self.route)

    async def open(self):
        loop = asyncio.get_running_loop()
        self.vm.flows[self.port] = self
        began = loop.time()
        for copy, at in enumerate(SYN_AT_S + (OPEN_TIMEOUT_S,)):
            await self._wait_until(began + at)
            if self.is_open:
                return
            if self.is_reset or copy == len(SYN_AT_S):
                self.close()
                raise Reset
            self._send(SYN, self.seq, copy)

    async def request(self, data, timeout_s):
        """Sends a request of one packet; returns the answer, or `None` after the timeout."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        seq, self.answer = self.seq, None
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        pause = RTO_S
        while loop.time() < end:
            self._send(ACK, seq, self.ack, data)
            await self._wait_until(min(loop.time() + pause, end))
            if self.answer is not None:
                return self.answer
            if self.is_reset:
                raise Reset
            pause = min(pause * 2, RTO_MAX_S)
        return None

    def close(self):
        if self.is_open and not self.is_reset:
            self._send(FIN | ACK, self.seq, self.ack)
        asyncio.get_running_loop().call_later(3.0, self.vm.flows.pop, self.port, None)

    def received(self, packet):
        if packet.flags & RST:
            # A reset of the system's own is valid while the flow is not open, or near the last acknowledgement.
            if is_own_reset(packet) and self.is_open and distance(packet.seq, self.ack) > RESET_WINDOW:
                return
            self.is_reset = True
            self.vm.world.flow_was_reset(self, packet)
            self.wake.set()
        elif packet.flags & SYN:
            if self.is_open:
                return
            self.is_open = True
            self.echo = packet.echo
            self.seq = (self.seq + 1) & 0xFFFFFFFF
            self.ack = (packet.seq + 1) & 0xFFFFFFFF
            self._send(ACK, self.seq, self.ack)
            self.wake.set()
        elif packet.data:
            self.echo = packet.echo
            if packet.seq == self.ack:
                self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
                self.answer = packet.data
                self.wake.set()
            self._send(ACK, self.seq, self.ack)

    async def _wait_until(self, at):
        loop = asyncio.get_running_loop()
        left = at - loop.time()
        if left > 0:
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _send(self, flags, seq, ack, data=b""):
        dst, dport = self.route
        packet = encode(self.echo, self.vm.ip, self.port, dst, dport, seq, ack, flags, data)
        self.vm.world.fabric.send(self.vm.zone, self.key, packet)
