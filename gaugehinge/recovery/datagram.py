"""One message between routers as bytes: a fixed form with its version, and a mark that only holders of the
installation's key can make. No I/O.

They travel on the tier's datagrams. The length is odd: the module's own payloads are whole figures of four
bytes, so neither is ever taken for the other, also at a router where recovery is off.
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
MARK_BYTES = 16  # of the digest that go along
FORM = struct.Struct("<BBIIIQQdQdQ?fIB?dQQIIQfBx")
# By bit. Routers that know none of them send 0: nothing said
FLAGS = ("clean_shutdown", "receiver_clean_shutdown", "confirmed_clean_shutdown", "zone_servers_survived")
LENGTH = FORM.size + MARK_BYTES
MOST_BYTES = 256
if LENGTH > MOST_BYTES or LENGTH % 4 == 0:
    raise AssertionError("the form of messages does not fit")


def digest(text: str) -> int:
    """32 bits of a name, never 0."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "little") or 1


@dataclass(slots=True)
class Wire:
    """Makes and reads messages with one key, and counts what was dropped."""

    key: bytes
    dropped: dict[str, int] = field(default_factory=lambda: dict.fromkeys(("form", "version", "mark"), 0))

    def write(self, told: PeerMessage) -> bytes:
        """A message as it goes out."""
        body = FORM.pack(
            MAGIC,
            VERSION,
            told.sender,
            told.receiver,
            told.zone,
            told.run,
            told.nonce,
            told.uptime,
            told.echo_nonce,
            told.echo_uptime,
            told.receiver_run,
            told.survived,
            told.last_heard_ago,
            told.epoch,
            told.verdict,
            told.ready,
            told.wall_clock,
            told.list_rev,
            told.list_checksum,
            told.control_plane_run,
            told.store_digest,
            told.store_revision,
            told.keys_lost_ago,
            sum(getattr(told, name) << bit for bit, name in enumerate(FLAGS)),
        )
        return body + self._mark(body)

    def mine(self, payload: bytes) -> bool:
        """Whether a datagram is of this kind at all: others are the module's."""
        return len(payload) == LENGTH and payload[0] == MAGIC

    def read(self, payload: bytes) -> PeerMessage | None:
        """A message that came; None where it cannot be read, which is counted by cause."""
        if not self.mine(payload):
            return self._drop("form")
        body, mark = payload[: FORM.size], payload[FORM.size :]
        if body[1] != VERSION:
            return self._drop("version")
        if not hmac.compare_digest(mark, self._mark(body)):
            return self._drop("mark")
        _, _, *figures, flags = FORM.unpack(body)
        said = {name: bool(flags >> bit & 1) for bit, name in enumerate(FLAGS)} if flags else {}
        told = PeerMessage(*figures, **said)
        times = (told.uptime, told.echo_uptime, told.last_heard_ago, told.wall_clock, told.keys_lost_ago)
        known = told.verdict in Verdict._value2member_map_
        if not all(map(isfinite, times)) or min(times[:3]) < 0.0 or not known:
            return self._drop("form")
        return told

    def _mark(self, body: bytes) -> bytes:
        return hmac.digest(self.key, body, "sha256")[:MARK_BYTES]

    def _drop(self, cause: str) -> None:
        self.dropped[cause] += 1
