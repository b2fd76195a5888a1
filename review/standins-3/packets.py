"""Layout of packets, as PROTOCOL.md describes it."""

import struct
import zlib
from collections import namedtuple
from ipaddress import IPv4Address

SYN, ACK, FIN, RST, BOUNCED = 4, 2, 16, 32, 128
HEAD = struct.Struct(">I4sH4sHIIHBBI")
KEY = b"stand-in key"
RESET_WINDOW = 76_800

Packet = namedtuple("Packet", "echo src sport dst dport seq ack flags sum data")


def _sum(src, sport, dst, dport, seq, ack, flags, data):
    fields = struct.pack(">4sH4sHIIBH", src.packed, sport, dst.packed, dport, seq, ack, flags & ~BOUNCED, len(data))
    return zlib.crc32(KEY + fields + data)


def encode(echo, src, sport, dst, dport, seq, ack, flags, data=b""):
    src, dst = IPv4Address(src), IPv4Address(dst)
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    checksum = _sum(src, sport, dst, dport, seq, ack, flags, data)
    head = HEAD.pack(echo, src.packed, sport, dst.packed, dport, seq, ack, len(data), flags, 0, checksum)
    return head + data


def decode(datagram):
    """Returns the packet; `None` if its length is wrong."""
    if len(datagram) < HEAD.size:
        return None
    echo, src, sport, dst, dport, seq, ack, length, flags, _, checksum = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size:]
    if len(data) != length:
        return None
    return Packet(echo, IPv4Address(src), sport, IPv4Address(dst), dport, seq, ack, flags, checksum, data)


def is_genuine(packet):
    """Whether the packet is as its sender wrote it."""
    p = packet
    return p.sum == _sum(p.src, p.sport, p.dst, p.dport, p.seq, p.ack, p.flags, p.data)


def is_own_reset(packet):
    """Whether the packet is a reset of the system's own."""
    return packet.flags == RST and packet.sum == 0 and not packet.data


def distance(a, b):
    """Distance of two sequence numbers, which wrap around."""
    apart = (a - b) & 0xFFFFFFFF
    return min(apart, 0x100000000 - apart)
