"""The router as a whole, from its start to its end, and the nurseries that its parts live in."""

from __future__ import annotations

import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

import trio
from loguru import logger

from ..routing.types import EndpointState
from ..settings import Settings, SettingsError
from .admission_control import AdmissionControl
from .client_server import ClientServer
from .configuration import Configuration, lasting
from .connection_pool import ConnectionPool
from .discovery import DiscoveryClient
from .dispatcher import Dispatcher
from .early import EarlyHangup
from .endpoint_list import EndpointListUpdate, read_endpoint_list
from .gossip import GossipChannel
from .lifecycle import Lifecycle, Phase
from .sockets import listener, shut
from .timer_queue import Clock, TimerQueue

CLIENT_PART = 0.4  # of the descriptors, with a quarter of that again to answer BUSY from
CONNECTION_PART = 0.4  # to servers; the rest is for listeners, discovery, peers and the interpreter,
RESERVED = 14  # this many at least: short of them, connections to servers and to discovery could not be had
LEAST_LINES = 8
BACKLOG = 512
START_TIME = 2.0  # with no list kept from before, clients are let in after this at the latest
STILL_COMING = 0.5  # new connections go on coming for less than this after the signal
KILL_SLACK = 0.7  # a platform kills a router no sooner than the longest wait and this after the signal,
MOST_WAITED = 3.0  # of which it counts no more than this
CLOSING_TIME = 0.9  # the last part of that, in which connections are closed,
LAST_PART = 0.35  # and the last of it, by when all is answered
LOOK_EVERY = 0.02
LAST_LOOK = 0.001  # in that last part


class Service:
    """One router."""

    def __init__(
        self,
        configuration: Configuration,
        reread: Callable[[], Configuration],
        new_door: Callable[[Settings, Dispatcher, int], AdmissionControl] | None = None,
        early: EarlyHangup | None = None,
        extend: Callable[[Service, trio.Nursery], None] | None = None,
        kind: type[ClientServer] = ClientServer,
    ) -> None:
        """`reread` brings the configuration as it is, or raises SettingsError; `new_door` a door; `extend`
        adds what an installation switched on, once all else is made; `kind` serves the first front."""
        self.extend = extend
        self.kind = kind
        self.fronts: list[tuple[ClientServer, socket.socket]] = []  # the first is the platform's
        self.farewells: list[Callable[[], Awaitable[None]]] = []  # once all is answered, before it ends
        self.early = early or EarlyHangup()
        self.new_door = new_door
        self.configuration = configuration
        self.reread = reread
        self.lifecycle = Lifecycle()
        self.told_to_end = False  # before signals had their receiver, or behind it
        self.clock = Clock()
        self.timers = TimerQueue(self.clock)
        settings = configuration.settings
        self.dispatcher = Dispatcher(settings.deployment, self.timers, settings.reports_load)
        self.clients: ClientServer
        self.pool: ConnectionPool
        self.discovery: DiscoveryClient
        self.peers: GossipChannel | None = None
        self.listening: socket.socket

    async def run(self) -> None:
        """Until told to leave and all in hand is answered."""
        with self._signals():
            await self._run()

    async def _run(self) -> None:
        configuration, settings = self.configuration, self.configuration.settings
        self.listening = listener(configuration.listen, BACKLOG)
        logger.info("router {} at {}:{}", configuration.name, *configuration.listen)
        peers = self.peers = None
        if configuration.peer_listen:
            order = "\0".join(configuration.settings.tenant_indexes).encode()  # of the figures in messages
            peers = self.peers = GossipChannel(configuration.peer_listen, configuration.peers, order)
        async with trio.open_nursery() as nursery:
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
                known, near = self._known(), settings.endpoints_pushed
                pool = self.pool = ConnectionPool(
                    nursery,
                    self.timers,
                    int(configuration.sockets * CONNECTION_PART),
                    settings.connect_timeout,
                    settings.idle_timeout,
                    self.dispatcher.attempt_ended,
                )
                discovery = self.discovery = DiscoveryClient(
                    nursery,
                    self.timers,
                    configuration.discovery,
                    None if known is None or near else known.rev,
                    self._hear_list,
                    self.dispatcher.on_poll_failed,
                    settings.deployment.seed,
                    near,
                )
                self.dispatcher.bind(pool, discovery.start_watch, peers.send if peers else lambda *told: None)
                if known is not None and not near:
                    self.dispatcher.on_endpoints_changed(known, held=True)
                memory = configuration.memory
                door = self.new_door(settings, self.dispatcher, memory) if self.new_door else None
                self.clients = self.kind(
                    settings,
                    self.lifecycle,
                    self.dispatcher,
                    int(configuration.sockets * CLIENT_PART),
                    memory,
                    nursery,
                    door,
                )
                nursery.start_soon(self.timers.run)
                self.fronts.append((self.clients, self.listening))
                if self.extend is not None:
                    self.extend(self, nursery)  # what it puts before the dispatch acts from the first call on
                self.dispatcher.begin()
                if peers is not None:
                    nursery.start_soon(peers.receive, self.dispatcher.on_gossip)
                self._divide(configuration)
                accepting = trio.CancelScope()
                nursery.start_soon(self._accept, accepting)
                up = known is not None and any(t.entry.state is EndpointState.UP for t in known.targets)
                if near:
                    # What the agent has counts as told from the first moment on: by a list kept from before,
                    # attempts went to servers that had been told to drain. Only with the agent away it
                    # serves.
                    self.timers.call_at(self.clock() + START_TIME, self._without_agent, known)
                elif up and self.lifecycle.phase is Phase.STARTING:
                    self._enter(Phase.READY)
                else:
                    self.timers.call_at(self.clock() + START_TIME, self._ready)
                if self.early.take():
                    self._reread()
                while not self.told_to_end and await anext(signals) == signal.SIGHUP:
                    self._reread()
                nursery.start_soon(self._told_again, signals)
                await self._leave(accepting)
                for farewell in self.farewells:
                    await farewell()
            for _ in range(2):
                await trio.lowlevel.checkpoint()  # a signal that came as the receiver closed comes once more
            nursery.cancel_scope.cancel()
        self._enter(Phase.ENDED)

    @contextmanager
    def _signals(self) -> Iterator[None]:
        """Orders to end that come just before signals have their receiver, or behind it, are taken too.

        An order to end that was still pending as the receiver closed was delivered once more, and ended the
        process by the signal in place of 0.
        """
        ends = (signal.SIGTERM, signal.SIGINT)
        before = {number: signal.signal(number, self._note_end) for number in ends}
        try:
            yield
        finally:
            for number, handler in before.items():
                signal.signal(number, handler)

    def _note_end(self, number: int, frame: object) -> None:
        self.told_to_end = True

    async def _told_again(self, signals: AsyncIterator[int]) -> None:
        """While it leaves: one more order, left pending, would end the process by the signal, not with 0."""
        async for number in signals:
            if number == signal.SIGHUP:
                # It still serves for seconds. Dropped, the order left it with a discovery that had moved, and
                # it sent on to servers that were told to drain.
                self._reread()
            else:
                logger.info("told again to leave by signal {}", number)

    def _reread(self) -> None:
        """Take over from the configuration what can change in service; a bad one changes nothing."""
        old = self.configuration
        try:
            new = self.reread()
        except SettingsError as bad:
            logger.warning("configuration not taken: {}", bad)
            return
        for field in lasting(old, new):
            logger.warning("configuration: {} changes at the next start only", field)
        self.configuration = replace(
            old,
            discovery=new.discovery,
            peers=new.peers,
            memory=new.memory,
            sockets=new.sockets,
        )
        logger.info("configuration read again: discovery at {}:{}", *new.discovery)
        self._divide(new)
        if self.peers is not None:
            self.peers.set_peers(new.peers)
        if new.discovery != old.discovery:
            self.discovery.move(new.discovery)
            self.dispatcher.on_discovery_changed()

    def _known(self) -> EndpointListUpdate | None:
        """The list that this router had before; a bad one is as none."""
        if self.configuration.known is None:
            return None
        try:
            return read_endpoint_list(self.configuration.known)
        except SettingsError as bad:
            logger.warning("known list not used: {}", bad)
            return None

    def _hear_list(self, update: EndpointListUpdate) -> None:
        self.dispatcher.on_endpoints_changed(update)
        self._ready()

    def _without_agent(self, known: EndpointListUpdate | None) -> None:
        if known is not None and self.lifecycle.phase is Phase.STARTING:
            logger.warning("no word of the agent: serving by the list kept before, version {}", known.rev)
            self.dispatcher.on_endpoints_changed(known, held=True)
        self._ready()

    def _ready(self) -> None:
        if self.lifecycle.phase is Phase.STARTING:
            self._enter(Phase.READY)

    def _enter(self, phase: Phase) -> None:
        self.lifecycle.enter(phase, len(self.dispatcher.pending_operations))

    def _divide(self, configuration: Configuration) -> None:
        """Each front has its part of descriptors and memory."""
        count, left = len(self.fronts), configuration.sockets - RESERVED
        for clients, _ in self.fronts:
            most_clients = int(configuration.sockets * CLIENT_PART) // count
            clients.set_limits(most_clients, configuration.memory // count)
            left -= clients.limits.max_accepted
        self.pool.set_limit(max(min(int(configuration.sockets * CONNECTION_PART), left), LEAST_LINES))

    async def _accept(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for clients, listening in self.fronts:
                    nursery.start_soon(clients.accept, listening)

    async def _leave(self, accepting: trio.CancelScope) -> None:
        """Serve on for as long as the platform lets us, then answer all in hand and close what stands idle.

        Some clients know no other router: closed early, all that they ask until the next one is up fails.
        """
        self._enter(Phase.LEAVING)
        began = self.clock()
        end = began + min(self.configuration.settings.max_client_wait, MOST_WAITED) + KILL_SLACK
        closing = max(end - CLOSING_TIME, began + STILL_COMING)
        while self.clock() < closing and (self._connections() or self.clock() < began + STILL_COMING):
            await trio.sleep(LOOK_EVERY)
        self._enter(Phase.CLOSING)
        accepting.cancel()
        await trio.lowlevel.checkpoint()
        for clients, listening in self.fronts:
            clients.accept_pending(listening)  # what the machine has taken already
            shut(listening)
        while self._connections():
            if self.clock() > end - LAST_PART:
                for clients, _ in self.fronts:
                    if clients.admission_control is not None:
                        clients.admission_control.reject_queued()
                self.dispatcher.fail_rest()
            pending = any(clients.has_pending_replies() for clients, _ in self.fronts)
            if self.clock() > end:
                break  # what is left stands within a command that never comes whole, or is not read
            for clients, _ in self.fronts:
                clients.close_idle(0.0)
            # A client may have sent hundreds of commands; what was read of them is given up some at a time.
            await trio.sleep(LAST_LOOK if pending and self.clock() > end - LAST_PART else LOOK_EVERY)
        for clients, _ in self.fronts:
            for client in clients.connections:
                clients.close(client)

    def _connections(self) -> int:
        return sum(len(clients.connections) for clients, _ in self.fronts)
