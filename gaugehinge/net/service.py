"""One router as a whole: builds its parts, runs them in one nursery and takes it from start to exit.

The start is in startup.py, the reload on SIGHUP in reload.py, the shutdown in graceful_shutdown.py.
"""

from __future__ import annotations

import signal
import socket
from collections.abc import AsyncIterator, Callable

import trio
from loguru import logger

from ..settings import Settings
from .admission_control import AdmissionControl
from .client_server import ClientServer
from .configuration import Configuration
from .connection_pool import ConnectionPool
from .discovery import DiscoveryClient
from .dispatcher import Dispatcher
from .endpoint_list import EndpointListUpdate
from .extensions import ExtensionBuilder, Extensions
from .front import BACKLOG, Front
from .gossip import GossipChannel
from .graceful_shutdown import GracefulShutdown
from .lifecycle import Lifecycle, Phase
from .reload import reload_configuration
from .resource_limits import CLIENT_SHARE, SERVER_SHARE, divide_resources
from .signals import EarlyHangup, TerminationFlag
from .sockets import listener
from .startup import Startup, read_cached_list
from .timer_queue import Clock, TimerQueue

AdmissionControlBuilder = Callable[[Settings, Dispatcher, int], AdmissionControl]
Signals = AsyncIterator[int]


class Service:
    """One router. All parts but the dispatcher and the timers are built by `run`."""

    def __init__(
        self,
        configuration: Configuration,
        reread: Callable[[], Configuration],
        build_admission_control: AdmissionControlBuilder | None = None,
        early_hangup: EarlyHangup | None = None,
        build_extensions: ExtensionBuilder | None = None,
        client_server_class: type[ClientServer] = ClientServer,
    ) -> None:
        """Store what `run` needs to build the router.

        `reread` returns the configuration as it is when called, or raises SettingsError. `build_extensions`
        is called once all other parts exist. `client_server_class` serves the first front, which is for the
        platform's clients.
        """
        settings = configuration.settings
        self.configuration = configuration
        self.reread = reread
        self.build_admission_control = build_admission_control
        self.build_extensions = build_extensions
        self.client_server_class = client_server_class
        self.early_hangup = early_hangup or EarlyHangup()
        self.termination = TerminationFlag()
        self.lifecycle = Lifecycle()
        self.clock = Clock()
        self.timers = TimerQueue(self.clock)
        self.dispatcher = Dispatcher(settings.deployment, self.timers, settings.reports_load)
        self.extensions: Extensions = Extensions()
        self.fronts: list[Front] = []  # the first is for the platform's clients
        self.startup: Startup
        self.listening: socket.socket
        self.clients: ClientServer  # of the first front
        self.pool: ConnectionPool
        self.discovery: DiscoveryClient
        self.gossip: GossipChannel | None = None

    async def run(self) -> None:
        """Serve until told to shut down and all requests in flight are answered.

        Raises OSError if it cannot listen at one of its addresses.
        """
        with self.termination.handling():
            await self._run()

    def enter(self, phase: Phase) -> None:
        """Enter a phase of the lifecycle."""
        self.lifecycle.enter(phase, len(self.dispatcher.pending_operations))

    def reload(self) -> None:
        """Reload what can change without a restart; an invalid configuration changes nothing."""
        reload_configuration(self)

    def on_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Apply an endpoint list from discovery; a starting router then becomes ready."""
        self.dispatcher.on_endpoints_changed(update)
        self.startup.become_ready()

    async def _run(self) -> None:
        self._open_sockets()
        # The receiver encloses the nursery, so that it closes only after its last reader has ended: a reader
        # woken in the same scheduler step in which the receiver closed found no signal in it.
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                self._build_parts(nursery)
                accept_scope = self._start(nursery)
                await self._serve(signals)
                nursery.start_soon(self._on_further_signals, signals)
                await GracefulShutdown(self).run(accept_scope)
                for hook in self.extensions.shutdown_hooks:
                    await hook.before_exit()
                nursery.cancel_scope.cancel()
        for _ in range(2):
            # A signal that arrived while the receiver closed is delivered again, to TerminationFlag.
            await trio.lowlevel.checkpoint()
        self.enter(Phase.ENDED)

    def _open_sockets(self) -> None:
        configuration = self.configuration
        self.listening = listener(configuration.listen, BACKLOG)
        logger.info("router {} at {}:{}", configuration.name, *configuration.listen)
        if configuration.peer_listen:
            # The numbers in gossip messages belong to the tenants in this order; messages of peers with
            # other tenants are ignored.
            tenant_names = "\0".join(configuration.settings.tenant_indexes).encode()
            self.gossip = GossipChannel(configuration.peer_listen, configuration.peers, tenant_names)

    def _build_parts(self, nursery: trio.Nursery) -> None:
        cached = read_cached_list(self.configuration)
        self.startup = Startup(self, cached)
        self.pool = self._build_pool(nursery)
        self.discovery = self._build_discovery(nursery, cached)
        send_gossip = self.gossip.send if self.gossip is not None else _send_nothing
        self.dispatcher.connect(self.pool, self.discovery.start_watch, send_gossip)
        self.startup.use_cached_list()
        self.clients = self._build_clients(nursery)
        nursery.start_soon(self.timers.run)
        self.fronts.append(Front(self.clients, self.listening))
        if self.build_extensions is not None:
            self.extensions = self.build_extensions(self, nursery)
            self.dispatcher.install(self.extensions)
            self.pool.install(self.extensions)

    def _build_pool(self, nursery: trio.Nursery) -> ConnectionPool:
        settings = self.configuration.settings
        return ConnectionPool(
            nursery,
            self.timers,
            int(self.configuration.sockets * SERVER_SHARE),
            settings.connect_timeout,
            settings.idle_timeout,
            self.dispatcher.on_attempt_finished,
        )

    def _build_discovery(self, nursery: trio.Nursery, cached: EndpointListUpdate | None) -> DiscoveryClient:
        settings = self.configuration.settings
        return DiscoveryClient(
            nursery,
            self.timers,
            self.configuration.discovery,
            None if cached is None or settings.endpoints_pushed else cached.rev,
            self.on_endpoint_list,
            self.dispatcher.on_poll_failed,
            settings.deployment.seed,
            settings.endpoints_pushed,
            settings.drain_grace,
            settings.deployment.router_count,
        )

    def _build_clients(self, nursery: trio.Nursery) -> ClientServer:
        settings, memory = self.configuration.settings, self.configuration.memory
        admission_control = None
        if self.build_admission_control is not None:
            admission_control = self.build_admission_control(settings, self.dispatcher, memory)
        return self.client_server_class(
            settings,
            self.lifecycle,
            self.dispatcher,
            int(self.configuration.sockets * CLIENT_SHARE),
            memory,
            nursery,
            admission_control,
        )

    def _start(self, nursery: trio.Nursery) -> trio.CancelScope:
        """Start all background work; return the scope whose cancellation stops accepting connections."""
        self.dispatcher.start_background_tasks()
        if self.gossip is not None:
            nursery.start_soon(self.gossip.receive, self.dispatcher.on_gossip)
        divide_resources(self.configuration, self.fronts, self.pool)
        accept_scope = trio.CancelScope()
        nursery.start_soon(self._accept, accept_scope)
        self.startup.begin()
        return accept_scope

    async def _accept(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for front in self.fronts:
                    nursery.start_soon(front.clients.accept, front.listening)

    async def _serve(self, signals: Signals) -> None:
        """Reload the configuration on SIGHUP, until a termination signal arrives."""
        if self.early_hangup.take():
            self.reload()
        while not self.termination.received and await anext(signals) == signal.SIGHUP:
            self.reload()

    async def _on_further_signals(self, signals: Signals) -> None:
        """Handle signals during shutdown.

        A further termination signal that stayed pending would end the process by the signal instead of with
        exit code 0.
        """
        async for number in signals:
            if number == signal.SIGHUP:
                # The router still serves for seconds. When SIGHUP was ignored here, the router kept the old
                # address of a discovery that had moved, and sent attempts to servers that were to drain.
                self.reload()
            else:
                logger.info("another termination signal while shutting down: {}", number)


def _send_nothing(peers: tuple[int, ...], payload: bytes) -> None:
    """Send nothing: takes the place of gossip in a router without peers."""
