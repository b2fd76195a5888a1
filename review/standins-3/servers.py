"""Stand-in for a server: answers clients directly and registers in the store, as PROTOCOL.md describes it."""

import asyncio
import random
import time

from packets import ACK, FIN, RST, SYN, decode, encode, is_genuine

RTO_S, RTO_MAX_S, RETRANSMISSIONS_MAX = 0.2, 1.6, 8
RECIPIENT_LEN = 8


class Flow:
    def __init__(self, echo, seq, received):
        self.echo = echo
        self.seq = seq  # next byte that is sent
        self.acked = seq
        self.received = received  # next byte that is expected
        self.is_open = False
        self.timer = None


class Server(asyncio.DatagramProtocol):
    """One server address. `start_boot` starts a process there, and `crash` ends it without a word."""

    def __init__(self, world, service, zone, addr, server_id, slots=4, queue=16, work_s=0.055, warmup_s=0.0):
        self.world = world
        self.service, self.zone, self.addr, self.id = service, zone, addr, server_id
        self.slots, self.queue, self.work_s, self.warmup_s = slots, queue, work_s, warmup_s
        self.is_running = False
        self.state = "ready"
        self.transport = None
        self.flows = {}
        self.waiting = []
        self.active = 0
        self.boot = 0

    async def bind(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.addr)

    @property
    def key(self):
        return f"servers/i-{self.id:010x}"

    def start_boot(self, warmup_s=None):
        """Starts a process, which registers at once and holds nothing of before."""
        self.boot += 1
        self.is_running = True
        self.state = "ready"
        self.flows, self.waiting, self.active = {}, [], 0
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.written = None
        self.warm_at = time.monotonic() + (self.warmup_s if warmup_s is None else warmup_s)
        self.world.note("server_started", server=self.name, boot=self.boot, cold=self.is_cold())
        self.heartbeat = asyncio.get_running_loop().create_task(self._heartbeats(self.boot))

    def crash(self):
        self.is_running = False
        self.heartbeat.cancel()
        for flow in self.flows.values():
            if flow.timer:
                flow.timer.cancel()
        self.flows, self.waiting, self.active = {}, [], 0
        self.boot += 1
        self.world.note("server_crashed", server=self.name)

    @property
    def name(self):
        return f"{self.service}/{self.zone}/{self.id:010x}"

    def is_cold(self):
        return time.monotonic() < self.warm_at

    def register(self):
        """Writes the entry, unless the store is away or nothing but the sequence has changed."""
        self.sequence += 1
        store = self.world.store
        if not self.world.store_is_up:
            return
        warmup_ms = max(0, round((self.warm_at - time.monotonic()) * 1000))
        entry = {
            "service": self.service,
            "address": f"{self.addr[0]}:{self.addr[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": warmup_ms,
            "born": self.born_ms,
        }
        if self.written == (store.era, entry) and self.key in store.entries:
            return
        self.written = (store.era, entry)
        store.put(self.key, {**entry, "sequence": self.sequence})

    async def _heartbeats(self, boot):
        while self.is_running and self.boot == boot:
            self.register()
            await asyncio.sleep(self.world.heartbeat_s)

    def datagram_received(self, datagram, _):
        if not self.is_running:
            return
        recipient = int.from_bytes(datagram[:RECIPIENT_LEN], "big")
        packet = decode(datagram[RECIPIENT_LEN:])
        if packet is None or not is_genuine(packet):
            self.world.note("server_got_changed_packet", server=self.name)
            return
        if recipient not in (0, self.id):
            self.world.note("server_got_foreign_packet", server=self.name, client=str(packet.src), port=packet.sport)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self._open(key, packet)
        elif packet.flags & RST:
            self._drop(key)
        elif key not in self.flows:
            if packet.flags & FIN:
                self._send(packet, key, 0, packet.ack, packet.seq + 1, ACK)
            else:
                self._send(packet, key, 0, packet.ack, packet.seq + len(packet.data), RST)
        else:
            self._continue(key, self.flows[key], packet)

    def _open(self, key, packet):
        self.world.opening(self, packet)
        flow = self.flows.get(key)
        if flow is None:
            flow = self.flows[key] = Flow(packet.echo, random.getrandbits(32), packet.seq + 1)
        self._send(packet, key, packet.echo, flow.seq, flow.received, SYN | ACK)

    def _continue(self, key, flow, packet):
        flow.echo = packet.echo
        if not flow.is_open:
            if (packet.ack - flow.seq) & 0xFFFFFFFF != 1:
                return
            flow.is_open = True
            flow.seq += 1
            flow.acked = flow.seq
            self.world.flow_opened(self, key)
        if packet.ack == flow.seq & 0xFFFFFFFF and flow.timer:
            flow.timer.cancel()
            flow.timer = None
        if packet.flags & FIN:
            self._send(packet, key, flow.echo, flow.seq, packet.seq + 1, ACK | FIN)
            self._drop(key)
            return
        if packet.data and packet.seq == flow.received & 0xFFFFFFFF:
            flow.received = packet.seq + len(packet.data)
            self.world.request_arrived(self, packet)
            if self.active < self.slots:
                self._run(key, packet)
            elif len(self.waiting) < self.queue:
                self.waiting.append((key, packet))
            else:
                self._answer(key, packet, b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")

    def _run(self, key, packet):
        self.active += 1
        self.world.request_ran(self, packet)
        loop = asyncio.get_running_loop()
        loop.call_later(self.work_s, self._finish, self.boot, key, packet)

    def _finish(self, boot, key, packet):
        if boot != self.boot:
            return
        self.active -= 1
        body = b"x" * 700
        head = f"HTTP/1.1 200 OK\r\nServer-Signature: {self.id:x}\r\nContent-Length: {len(body)}\r\n\r\n"
        self._answer(key, packet, head.encode() + body)
        if self.waiting:
            self._run(*self.waiting.pop(0))

    def _answer(self, key, packet, data):
        flow = self.flows.get(key)
        if flow is None:
            return
        seq = flow.seq
        flow.seq += len(data)
        self._transmit(key, flow, packet, seq, data, 0)

    def _transmit(self, key, flow, packet, seq, data, times):
        if self.flows.get(key) is not flow or times > RETRANSMISSIONS_MAX:
            return
        self._send(packet, key, flow.echo, seq, flow.received, ACK, data)
        pause = min(RTO_S * 2**times, RTO_MAX_S)
        loop = asyncio.get_running_loop()
        flow.timer = loop.call_later(pause, self._transmit, key, flow, packet, seq, data, times + 1)

    def _drop(self, key):
        flow = self.flows.pop(key, None)
        if flow and flow.timer:
            flow.timer.cancel()
        self.world.flow_closed(key)

    def _send(self, packet, key, echo, seq, ack, flags, data=b""):
        src, sport, dst, dport = key
        if flags & RST:
            self.world.server_reset(self, key)
        reply = encode(echo, dst, dport, src, sport, seq, ack, flags, data)
        self.transport.sendto(reply, (str(src), self.world.data_port))
