"""Encodes the messages between routers: a fixed, versioned layout and a message authentication code (MAC).

Only holders of the installation's key can compute the MAC. No I/O.

The messages travel as datagrams between the routers of the tier, which also carry the payloads of the routing
module. Those are sequences of four-byte values; the length of a message is not a multiple of four. So neither
is ever mistaken for the other, not even by a router on which recovery is off.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass, field
from math import isfinite

from .restart_scope import PeerMessage, Verdict

MAGIC = 0xE7
VERSION = 1
MAC_BYTES = 16  # bytes of the HMAC that are sent
LAYOUT = struct.Struct("<BBIIIQQdQdQ?fIB?dQQIIQfBx")
# By bit, lowest first. Routers that know none of them send 0, which claims nothing.
FLAGS = ("clean_shutdown", "receiver_clean_shutdown", "confirmed_clean_shutdown", "zone_servers_survived")
MESSAGE_BYTES = LAYOUT.size + MAC_BYTES
MAX_MESSAGE_BYTES = 256
if MESSAGE_BYTES > MAX_MESSAGE_BYTES or MESSAGE_BYTES % 4 == 0:
    raise AssertionError("the message layout exceeds the size limit or has a length divisible by 4")


def digest(text: str) -> int:
    """A 32-bit digest of a name, never 0."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "little") or 1


@dataclass(slots=True)
class MessageCodec:
    """Encodes and decodes messages with one key, and counts dropped datagrams by cause."""

    key: bytes
    dropped: dict[str, int] = field(default_factory=lambda: dict.fromkeys(("form", "version", "mark"), 0))

    def encode(self, message: PeerMessage) -> bytes:
        """The bytes to send."""
        body = LAYOUT.pack(
            MAGIC,
            VERSION,
            message.sender,
            message.receiver,
            message.zone,
            message.run,
            message.nonce,
            message.uptime,
            message.echo_nonce,
            message.echo_uptime,
            message.receiver_run,
            message.survived,
            message.last_heard_ago,
            message.epoch,
            message.verdict,
            message.ready,
            message.wall_clock,
            message.list_rev,
            message.list_checksum,
            message.control_plane_run,
            message.store_digest,
            message.store_revision,
            message.keys_lost_ago,
            sum(getattr(message, name) << bit for bit, name in enumerate(FLAGS)),
        )
        return body + self._mac(body)

    def matches(self, payload: bytes) -> bool:
        """Whether a datagram is a recovery message; all others belong to the routing module."""
        return len(payload) == MESSAGE_BYTES and payload[0] == MAGIC

    def decode(self, payload: bytes) -> PeerMessage | None:
        """The message of a datagram, or None if it is invalid; these are counted by cause."""
        if not self.matches(payload):
            return self._drop("form")
        body, mac = payload[: LAYOUT.size], payload[LAYOUT.size :]
        if body[1] != VERSION:
            return self._drop("version")
        if not hmac.compare_digest(mac, self._mac(body)):
            return self._drop("mark")
        _, _, *fields, flags = LAYOUT.unpack(body)
        flag_values = {name: bool(flags >> bit & 1) for bit, name in enumerate(FLAGS)} if flags else {}
        message = PeerMessage(*fields, **flag_values)
        times = (
            message.uptime,
            message.echo_uptime,
            message.last_heard_ago,
            message.wall_clock,
            message.keys_lost_ago,
        )
        known_verdict = message.verdict in Verdict._value2member_map_
        if not all(map(isfinite, times)) or min(times[:3]) < 0.0 or not known_verdict:
            return self._drop("form")
        return message

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self.key, body, "sha256")[:MAC_BYTES]

    def _drop(self, cause: str) -> None:
        self.dropped[cause] += 1
