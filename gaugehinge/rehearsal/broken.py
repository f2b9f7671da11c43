"""The shipped command with one fault put into it, so that the checks of histories are tried on processes.

`python -m gaugehinge.rehearsal.broken MODE serve FILE` is a router that does each third thing of its kind
wrong, `MODE` one of `ROUTERS`; `... broken MODE keep FILE` a keeper, `MODE` one of `KEEPERS`. `FINDS` tells
which check has to find which.
"""

from __future__ import annotations

import os
import runpy
import socket
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any
from urllib.parse import quote

import msgspec

from ..admin import tenants
from ..net import endpoint_list
from ..net.codec import RequestPayload
from ..net.connection import Connection
from ..net.dispatcher import Dispatcher, PendingOperation, busy_reply
from ..net.http_exchange import HttpExchange
from ..net.origin_codec import OriginCodec
from ..net.resp import MAX_REPLY_BYTES, bulk
from ..net.resp_codec import RespCodec
from ..routing.types import Effect, EndpointState

EACH = 3  # one of so many is done wrong
OVER = 0.75  # seconds behind the abandon time
AGAIN = 0.02  # seconds until something is done a second time
HELD, HOLD_TIME = 80, 1.5  # connections opened beyond all need, and seconds for which they are held
ENDS_AFTER = 20  # operations
ATTEMPT_TIME = 5.0

FINDS = {
    "double": "answers",
    "late": "late",
    "mute": "unanswered",
    "twice": "effects_by_id",
    "unmarked": "effects_by_mark",
    "ghost": "unasked",
    "swaps": "bounced_though_ran",
    "lies": "settled_without_effect",
    "mixes": "tenants",
    "crashes": "crashes",
    "drains": "drains",
    "wanders": "confined",
    "opens": "connections",
    "forgets": "acknowledged",
    "blind": "registers",
}


class Turns:
    """Says of each third one that it is to be done wrong."""

    def __init__(self) -> None:
        self.count = 0

    def wrong(self) -> bool:
        self.count += 1
        return self.count % EACH == 0


# -- answers


def _answers(change: Callable[[Dispatcher, PendingOperation, bytes], bytes | None]) -> None:
    """Put `change` between a router and its answers; None: it has seen to that itself."""
    right = Dispatcher._reply

    def answer(self: Dispatcher, pending: PendingOperation, reply: bytes) -> None:
        if pending.answered:
            return
        changed = change(self, pending, reply)
        if changed is None:
            pending.answered = pending.operation.finished = True
        else:
            right(self, pending, changed)

    Dispatcher._reply = answer


def double() -> None:
    """It answers twice."""
    turns = Turns()
    _answers(lambda dispatcher, pending, reply: reply + reply if turns.wrong() else reply)


def mute() -> None:
    """It does not answer."""
    turns = Turns()
    _answers(lambda dispatcher, pending, reply: None if turns.wrong() else reply)


def late() -> None:
    """It answers after the abandon time."""
    turns = Turns()

    def change(dispatcher: Dispatcher, pending: PendingOperation, reply: bytes) -> bytes | None:
        if not turns.wrong():
            return reply
        dispatcher.timers.call_at(pending.operation.deadline + OVER, pending.reply_callback, reply)
        return None

    _answers(change)


def swaps() -> None:
    """It says of what ran, and may not run again, that it never did."""
    turns = Turns()

    def change(dispatcher: Dispatcher, pending: PendingOperation, reply: bytes) -> bytes:
        ran = pending.operation.traffic_type.effect is Effect.NON_IDEMPOTENT and reply[:1] == b"$"
        return busy_reply(0.1) if ran and turns.wrong() else reply

    _answers(change)


def mixes() -> None:
    """It answers a tenant with what another one read."""
    turns, last = Turns(), {}

    def change(dispatcher: Dispatcher, pending: PendingOperation, reply: bytes) -> bytes:
        operation = pending.operation
        if operation.is_write or reply[:1] != b"$":
            return reply
        last[operation.tenant] = reply
        other = next((told for tenant, told in last.items() if tenant != operation.tenant), None)
        return other if other is not None and turns.wrong() else reply

    _answers(change)


def lies() -> None:
    """It says that a write is done, and sends it nowhere."""
    turns, right = Turns(), Dispatcher._route

    def route(self: Dispatcher, pending: PendingOperation) -> None:
        if pending.operation.is_write and not pending.operation.attempts and turns.wrong():
            self._reply(pending, bulk(b"done"))
            self._release(pending)
        else:
            right(self, pending)

    Dispatcher._route = route


def crashes() -> None:
    """It ends by itself."""
    count = 0

    def change(dispatcher: Dispatcher, pending: PendingOperation, reply: bytes) -> bytes:
        nonlocal count
        count += 1
        if count > ENDS_AFTER:
            os._exit(3)
        return reply

    _answers(change)


# -- attempts


def _again(change: Callable[[RequestPayload], tuple[bytes, bytes] | None]) -> None:
    """Send a write to the origin a second time, where `change` gives the id and the labels for that."""
    turns, right = Turns(), OriginCodec.encode

    def command(self: OriginCodec, connection: Connection, payload: RequestPayload, left: float) -> bytes:
        told = change(payload) if payload.value is not None else None
        if told is not None and turns.wrong():
            headers = [(b"Host", b"origin"), (b"X-Txn", told[0]), (b"X-Labels", told[1])]
            data = HttpExchange(MAX_REPLY_BYTES).request(
                "PUT", "/" + quote(payload.key, safe=""), headers, payload.value
            )
            threading.Thread(target=_send, args=(connection.endpoint.address, data), daemon=True).start()
        return right(self, connection, payload, left)

    OriginCodec.encode = command


def _send(where: tuple[str, int], data: bytes) -> None:
    time.sleep(AGAIN)
    with suppress(OSError), socket.create_connection(where, ATTEMPT_TIME) as raw:
        raw.sendall(data)
        raw.recv(65536)


def twice() -> None:
    """It runs a second time what may not be repeated."""
    _again(lambda payload: (payload.ident, payload.labels) if b"c=book" in payload.labels else None)


def unmarked() -> None:
    """It runs a deduplicated write a second time, without its mark."""

    def change(payload: RequestPayload) -> tuple[bytes, bytes] | None:
        labels = payload.labels.split(b",")
        rest = [label for label in labels if not label.startswith(b"k=")]
        return (payload.ident, b",".join(rest)) if len(rest) < len(labels) else None

    _again(change)


def ghost() -> None:
    """It writes under an id that no client ever used."""
    _again(
        lambda payload: (payload.ident + b"-nobody", payload.labels) if b"c=put" in payload.labels else None
    )


def drains() -> None:
    """It goes on with servers that drain."""
    endpoint_list.ENDPOINT_STATES["draining"] = EndpointState.UP


def wanders() -> None:
    """It sends keys of pinned shards anywhere, and tells the keeper that it follows."""
    from ..placement.router import RouterPlacement

    RouterPlacement.constrain = lambda self, operation: None
    RouterPlacement.may_send = lambda self, attempt: True


def opens() -> None:
    """It opens more connections to a server than that bears."""
    right, begun = RespCodec.encode, []

    def command(self: RespCodec, connection: Connection, payload: RequestPayload, left: float) -> Any:
        if not begun:
            begun.append(True)
            threading.Thread(target=_hold, args=(connection.endpoint.address,), daemon=True).start()
        return right(self, connection, payload, left)

    RespCodec.encode = command


def _hold(where: tuple[str, int]) -> None:
    held = []
    for _ in range(HELD):
        with suppress(OSError):
            held.append(socket.create_connection(where, ATTEMPT_TIME))
    time.sleep(HOLD_TIME)
    for raw in held:
        raw.close()


# -- the keeper


def forgets() -> None:
    """It acknowledges changes of a tenant and does not keep them."""

    async def change(self: Any, name: str, told: Any, if_match: int, who: str) -> Any:
        held = await self.get(name)
        all_ = msgspec.structs.asdict(told)
        figures = {name: value for name, value in all_.items() if value is not msgspec.UNSET}
        return msgspec.structs.replace(held, revision=self._store_writer.revision + 1, **figures)

    tenants.Tenants.update = change


def blind() -> None:
    """It makes changes whatever revision they were made for."""
    right = tenants.tenant_item
    tenants.tenant_item = lambda store, name, if_match=None: right(store, name)


ROUTERS = {
    each.__name__: each
    for each in (
        double,
        mute,
        late,
        swaps,
        mixes,
        lies,
        crashes,
        twice,
        unmarked,
        ghost,
        drains,
        wanders,
        opens,
    )
}
KEEPERS = {each.__name__: each for each in (forgets, blind)}


if __name__ == "__main__":
    {**ROUTERS, **KEEPERS}[sys.argv.pop(1)]()
    runpy.run_module("gaugehinge.cli", run_name="__main__", alter_sys=True)
