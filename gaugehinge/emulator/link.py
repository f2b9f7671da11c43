"""A relay between two named parties, whose state is changed while a play runs. TCP and UDP on loopback.

Each link has a listener of its own, which only its one side knows, and goes on to the other side from an
address of its own: so parties can tell one another apart by address, as on a network.
"""

from __future__ import annotations

import random
import select
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

import trio
from loguru import logger

from ..net.sockets import connect, listener, receive, send_all, shut, tcp

Address = tuple[str, int]

BACKLOG = 512
RESET_BY_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection
MOST_DATAGRAM = 2048
SLOW_GRAIN = 0.02  # seconds between two pieces of a slow drip
LATEST = 0.05  # seconds that a datagram out of order comes late, at most
FILLERS = 2  # connections that take all places of a listener with none
AFTER_ERROR = 0.01  # seconds: a lasting error of a socket must not take the core
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class State(Enum):
    """What a link does with what comes. Connections made in one state feel the next one, too."""

    UP = "up"
    REFUSED = "refused"  # new connections are refused, open ones are reset
    SILENT = "silent"  # nothing passes either way, nothing is closed; new connections come up and stay silent
    SILENT_THERE = "silent there"  # only what goes from one to other is held
    SILENT_BACK = "silent back"  # only what comes from other to one is held
    RESET = "reset"  # each connection is reset after `Fault.after` bytes from one to other
    SLOW = "slow"  # `Fault.rate` bytes a second, each way
    LATE = "late"  # each piece `Fault.delay` seconds later
    HANGS = "hangs"  # new connections do not come up; those that are open pass as ever. Once it is over, they
    # come up as the kernel asks again: a second, or three, after they were begun
    LOSSY = "lossy"  # datagrams: `Fault.part` of them lost, as many told twice, as many out of order


@dataclass(slots=True, frozen=True)
class Fault:
    """A state and its figures."""

    state: State = State.UP
    after: int = 0  # bytes
    rate: float = 0.0  # bytes a second
    delay: float = 0.0  # seconds
    part: float = 0.0  # 0 to 1

    def turned(self) -> Fault:
        """The same as seen from the other side."""
        state = {State.SILENT_THERE: State.SILENT_BACK, State.SILENT_BACK: State.SILENT_THERE}
        return Fault(state.get(self.state, self.state), self.after, self.rate, self.delay, self.part)


@dataclass(slots=True, eq=False)
class Joint:
    """One connection through a link: from its one side, and on to the other."""

    near: socket.socket
    far: socket.socket | None = None
    passed: int = 0  # bytes from one to other since the link's last change
    since: int = 0  # the number of that change
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def reset(self) -> None:
        """Both sides see a reset."""
        for raw in (self.near, self.far):
            if raw is not None and raw.fileno() >= 0:
                with suppress(OSError):
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_BY_CLOSE)
                shut(raw)
        self.scope.cancel()


@dataclass(slots=True, eq=False)
class Count:
    """What passed a link, for tests and for the person who reads a play."""

    connections: int = 0
    pieces: int = 0
    lost: int = 0  # datagrams
    dropped: int = 0  # connections whose held bytes nobody stood by any more


class Wire:
    """One link: its state, and who has to know when that changes."""

    def __init__(self, one: str, other: str, seed: int) -> None:
        self.one, self.other = one, other
        self.fault = Fault()
        self.changes = 0
        self.changed = trio.Event()
        self.draw = random.Random(f"{seed} {one} {other}")
        self.count = Count()

    def put(self, fault: Fault) -> None:
        """From now on it is so."""
        self.fault = fault
        self.changes += 1
        self.changed.set()
        self.changed = trio.Event()

    def holds(self, there: bool) -> bool:
        """Whether nothing passes, from one to other or back."""
        if self.fault.state is State.SILENT:
            return True
        return self.fault.state is (State.SILENT_THERE if there else State.SILENT_BACK)

    async def free(self, there: bool) -> bool:
        """Wait while nothing passes; whether there was a wait."""
        waited = False
        while self.holds(there):
            waited = True
            await self.changed.wait()
        return waited


class TcpLink(Wire):
    """Connections from one side to the other."""

    def __init__(
        self,
        nursery: trio.Nursery,
        one: str,
        other: str,
        seed: int,
        at: Address,
        to: Address,
        source: str,
    ) -> None:
        super().__init__(one, other, seed)
        self.nursery = nursery
        self.at, self.to, self.source = at, to, source
        self.listening: socket.socket | None = None
        self.fillers: list[socket.socket] = []  # take the places of those that would come up
        self.joints: set[Joint] = set()  # until closed
        self.there = False  # whether the other side listens

    def put(self, fault: Fault) -> None:
        super().put(fault)
        if fault.state is State.REFUSED:
            self.forget()
        self.look()

    def forget(self) -> None:
        """All connections are reset, before this returns."""
        for joint in list(self.joints):
            joint.reset()

    def reach(self, there: bool) -> None:
        """The other side's process listens, or does not: then connections are refused here as they are there.

        What relay connects to is known only after it took the connection; a party that is gone would look
        like one that hangs up.
        """
        self.there = there
        self.look()

    def look(self) -> None:
        """Listen, or do not."""
        silent = self.holds(True) or self.holds(False)  # then nobody learns that the other side is gone
        hangs = self.fault.state is State.HANGS
        if hangs != bool(self.fillers):
            self.close()
        wanted = (self.there or silent) and self.fault.state is not State.REFUSED
        if wanted and hangs:
            self._hang()
        elif wanted and self.listening is None:
            self.listening = listener(self.at, BACKLOG)
            self.nursery.start_soon(self._accept, self.listening)
        elif not wanted:
            self.close()

    def _hang(self) -> None:
        """Listen with no place left: the kernel drops what asks for one."""
        if self.fillers:
            return
        self.listening = listener(self.at, 0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(self.at)
            self.fillers.append(filler)

    def close(self) -> None:
        """New connections are refused from here on."""
        for filler in self.fillers:
            shut(filler)
        self.fillers.clear()
        if self.listening is not None:
            shut(self.listening)
            self.listening = None

    async def _accept(self, listening: socket.socket) -> None:
        while listening.fileno() >= 0:  # closed again before this task began: then nothing may wait for it
            try:
                await trio.lowlevel.wait_readable(listening)
                raw, _ = listening.accept()
            except BlockingIOError:
                continue
            except trio.ClosedResourceError:
                return
            except OSError as bad:
                logger.warning("relay {} to {}: {}", self.one, self.other, bad)
                await trio.sleep(AFTER_ERROR)
                continue
            raw.setblocking(False)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            joint = Joint(raw, since=self.changes)
            self.joints.add(joint)
            self.count.connections += 1
            self.nursery.start_soon(self._serve, joint)

    async def _serve(self, joint: Joint) -> None:
        try:
            with joint.scope:
                if await self.free(True) and self._left(joint):
                    return  # the one side went while nothing passed: the other never hears of it
                far = joint.far = tcp(self.to)
                if self.source:
                    far.bind((self.source, 0))
                try:
                    await connect(far, self.to)
                except ConnectionRefusedError:
                    self.reach(False)
                    await self.free(False)
                    raise
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pass, joint, joint.near, far, True)
                    nursery.start_soon(self._pass, joint, far, joint.near, False)
        except (OSError, trio.ClosedResourceError):
            joint.reset()
        finally:
            self.joints.discard(joint)
            for raw in (joint.near, joint.far):
                if raw is not None:
                    shut(raw)

    async def _pass(self, joint: Joint, source: socket.socket, sink: socket.socket, there: bool) -> None:
        """One way of a connection, to its end."""
        try:
            while data := await self._receive(joint, source, there):
                self.count.pieces += 1
                await self._send(joint, sink, data, there)
            sink.shutdown(socket.SHUT_WR)
        except (OSError, trio.ClosedResourceError):
            joint.reset()

    async def _receive(self, joint: Joint, source: socket.socket, there: bool) -> bytes:
        """What comes next, once it may pass; nothing at the end. Raises OSError at a reset."""
        try:
            data = await receive(source)
        except OSError:
            await self.free(there)
            raise
        if await self.free(there) and there and self._left(joint):
            raise ConnectionResetError  # it gave up long ago: nobody stands by what was held
        return data

    def _left(self, joint: Joint) -> bool:
        """Whether the one side has closed its end."""
        if joint.near.fileno() < 0:
            return True  # a reset has closed it meanwhile
        poll = select.poll()
        poll.register(joint.near.fileno(), GONE)
        left = bool(poll.poll(0))
        self.count.dropped += left
        return left

    async def _send(self, joint: Joint, sink: socket.socket, data: bytes, there: bool) -> None:
        fault = self.fault
        if fault.state is State.LATE:
            await trio.sleep(fault.delay)
            await self.free(there)
        elif fault.state is State.SLOW:
            most = max(int(fault.rate * SLOW_GRAIN), 1)
            while data and self.fault is fault:
                await send_all(sink, data[:most])
                await trio.sleep(len(data[:most]) / fault.rate)
                data = data[most:]
            await self.free(there)
        elif fault.state is State.RESET and there:
            if joint.since != self.changes:
                joint.since, joint.passed = self.changes, 0
            left = fault.after - joint.passed
            joint.passed += len(data)
            if len(data) >= left:
                await send_all(sink, data[: max(left, 0)])
                raise ConnectionResetError
        if data:
            await send_all(sink, data)


class UdpLink(Wire):
    """Datagrams between two sides, both ways. Each side knows the address that it reaches the other at."""

    def __init__(
        self,
        nursery: trio.Nursery,
        one: str,
        other: str,
        seed: int,
        at_one: Address,
        at_other: Address,
        one_is: Address,
        other_is: Address,
    ) -> None:
        """`at_one`: where the one side sends to; `one_is`: where it hears; the other's alike."""
        super().__init__(one, other, seed)
        self.nursery = nursery
        self.raws = (_datagrams(at_one), _datagrams(at_other))
        self.sides = (one_is, other_is)
        for side in (0, 1):
            nursery.start_soon(self._relay, side)

    def close(self) -> None:
        """Nothing passes any more."""
        for raw in self.raws:
            shut(raw)

    async def _relay(self, side: int) -> None:
        """What side 0 (one) or 1 (other) sends."""
        raw = self.raws[side]
        while raw.fileno() >= 0:
            try:
                await trio.lowlevel.wait_readable(raw)
                data, sender = raw.recvfrom(MOST_DATAGRAM)
            except BlockingIOError:
                continue
            except trio.ClosedResourceError:
                return
            except OSError:  # the refusal of an earlier one is reported here
                await trio.sleep(AFTER_ERROR)
                continue
            if sender == self.sides[side]:
                self._take(side, data)

    def _take(self, side: int, data: bytes) -> None:
        fault, draw = self.fault, self.draw
        self.count.pieces += 1
        if self.holds(side == 0) or fault.state is State.REFUSED:
            self.count.lost += 1
        elif fault.state is State.LATE:
            self.nursery.start_soon(self._later, side, data, fault.delay)
        elif fault.state is State.LOSSY:
            if draw.random() < fault.part:
                self.count.lost += 1
                return
            if draw.random() < fault.part:
                self._tell(side, data)
            late = draw.random() * LATEST if draw.random() < fault.part else 0.0
            if late:
                self.nursery.start_soon(self._later, side, data, late)
            else:
                self._tell(side, data)
        else:
            self._tell(side, data)

    async def _later(self, side: int, data: bytes, delay: float) -> None:
        await trio.sleep(delay)
        if self.holds(side == 0) or self.fault.state is State.REFUSED:
            self.count.lost += 1
        else:
            self._tell(side, data)

    def _tell(self, side: int, data: bytes) -> None:
        with suppress(OSError):  # a full buffer, or nobody there: datagrams may be lost
            self.raws[1 - side].sendto(data, self.sides[1 - side])


class Links:
    """All links of a play, by the names of their sides."""

    def __init__(self, nursery: trio.Nursery, seed: int, note: Callable[[str, str, Fault], None]) -> None:
        """`note` gets the change of each link, with its sides as they stand there."""
        self.nursery = nursery
        self.seed = seed
        self.note = note
        self.all: dict[tuple[str, str], TcpLink | UdpLink] = {}

    def tcp(self, one: str, other: str, at: Address, to: Address, source: str = "") -> TcpLink:
        """Connections to `at` go on to `to`, from the address `source`. Up from when `reach` says so."""
        link = TcpLink(self.nursery, one, other, self.seed, at, to, source)
        self.all[one, other] = link
        return link

    def udp(
        self, one: str, other: str, at_one: Address, at_other: Address, one_is: Address, other_is: Address
    ) -> UdpLink:
        """Datagrams both ways; see UdpLink."""
        link = UdpLink(self.nursery, one, other, self.seed, at_one, at_other, one_is, other_is)
        self.all[one, other] = link
        return link

    def change(self, one: str, other: str, fault: Fault) -> int:
        """Change a link, named from either side; `*` for all of a party's. How many there were. Raises
        KeyError where there is none."""
        found = 0
        for (first, second), link in self.all.items():
            if _fits(one, first) and _fits(other, second):
                told = fault
            elif _fits(one, second) and _fits(other, first):
                told = fault.turned()
            else:
                continue
            link.put(told)
            self.note(first, second, told)
            found += 1
        if not found:
            raise KeyError(f"no link between {one} and {other}")
        return found

    def reach(self, other: str, there: bool) -> None:
        """A party's process listens, or does not."""
        for link in self.all.values():
            if link.other == other and isinstance(link, TcpLink):
                link.reach(there)

    def forget(self, name: str) -> None:
        """All connections from and to a party are reset at once, whatever its links held of them: its machine
        is another one."""
        for sides, link in self.all.items():
            if name in sides and isinstance(link, TcpLink):
                link.forget()

    def let_go(self, name: str) -> None:
        """Connections to a party whose process has ended are reset at once, where no fault of the link keeps
        that from being told. Started anew in the same instant, it was written to on connections that the run
        before had, before their relays came to run: an operation that nobody took counted as unanswered."""
        for link in self.all.values():
            held = link.holds(True) or link.holds(False)
            if link.other == name and isinstance(link, TcpLink) and not held:
                link.forget()

    def close(self) -> None:
        """No link any more."""
        for link in self.all.values():
            link.close()
            if isinstance(link, TcpLink):
                link.forget()


def _fits(told: str, name: str) -> bool:
    return told == "*" or told == name


def _datagrams(at: Address) -> socket.socket:
    raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    raw.setblocking(False)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # beside the reservation of its port
    raw.bind(at)
    return raw
