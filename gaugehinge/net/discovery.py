"""Discovery client: keeps one watch at a time on the endpoint list and passes updates on.

The timing of polls, with the worst case until a change is known, is in `discovery_schedule`; the HTTP calls
are in `discovery_watch`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import trio
from loguru import logger

from ..settings import SettingsError
from .configuration import Address
from .discovery_schedule import (
    MAX_RECONNECTS,
    MIN_POLL_INTERVAL,
    DiscoverySchedule,
    PollTiming,
)
from .discovery_watch import ENDPOINTS_PATH, PollError, PollTimeoutError, Watch
from .endpoint_list import EndpointListUpdate
from .timer_queue import Timer, TimerQueue


class WatchEnd(NamedTuple):
    """How a series of polls ended."""

    timed_out: bool  # the last poll got no answer in time; otherwise it failed
    answered: bool  # whether any poll before it was answered


class DiscoveryClient:
    """Follows the endpoint list with one watch at a time."""

    def __init__(
        self,
        nursery: trio.Nursery,
        timers: TimerQueue,
        address: Address,
        version: int | None,
        on_update: Callable[[EndpointListUpdate], None],
        on_failure: Callable[[], None],
        seed: int = 0,
        local_agent: bool = False,
        drain_grace: float = 0.0,
        router_count: int = 1,
    ) -> None:
        """Create a client; `start_watch` starts polling.

        `version` is that of the list that is already known; None polls the whole list first. `on_failure` is
        called when a watch has ended; `start_watch` begins the next one. `local_agent`: the list is pushed to
        an agent on this machine, which is polled again at once, whatever it answers. `drain_grace`: seconds
        for which servers that have left the list may still be used. `router_count`: of all that poll it.
        """
        self.nursery = nursery
        self.timers = timers
        self.address = address
        self.version = version  # changes since it are polled; None: the whole list is
        self.on_update = on_update
        self.on_failure = on_failure
        self.local_agent = local_agent
        self.agent_unreachable = False
        self.moved = False  # to an address that has not answered yet; its version numbers may be unrelated
        self.newest_version = version  # of the lists that were accepted
        self._older_full_list_seen = False  # since the last list that was accepted
        self._may_be_restarted = False  # another process may answer, whose version numbers may be unrelated
        self._schedule = DiscoverySchedule(seed, local_agent, router_count)
        self._drain_grace = drain_grace
        self._list_has_servers = version is not None  # whether the list in use names any
        self._empty_list_timer: Timer | None = None  # fires when a list without servers is accepted
        self._watch_scope: trio.CancelScope | None = None

    def move(self, address: Address) -> None:
        """Follow discovery at another address, where version numbers may start anew.

        The new address is polled for changes since the known version. The whole list is polled once the
        address turns out to count versions differently, or else after a delay. When all routers polled whole
        lists at once, that took longer than a change may take to be known, and polls were rejected: routers
        used the former list for 12 s and forwarded to draining servers.
        The current watch is cancelled: a list that it still delivered would revert newer information from
        the new address.
        """
        self.address, self.moved = address, True
        self._discard_unconfirmed_list()
        if self.local_agent:
            self.version = None
        self._schedule.on_discovery_moved()
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    def start_watch(self) -> None:
        """Start a watch; it replaces the current one if that has not ended."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        self._watch_scope = trio.CancelScope()
        self.nursery.start_soon(self._run_watch, self._watch_scope)

    async def _run_watch(self, scope: trio.CancelScope) -> None:
        watch = Watch(self.address, self.timers)
        watch.drops_late_copies = self.local_agent
        watch.on_connection_lost = self._on_connection_lost
        try:
            with scope:
                await self._watch_and_reconnect(watch, scope)
                if not scope.cancel_called:
                    self.on_failure()
        except Exception:
            logger.exception("discovery watch failed")
            self.on_failure()
        finally:
            watch.close()

    async def _watch_and_reconnect(self, watch: Watch, scope: trio.CancelScope) -> None:
        """Poll and reconnect for as long as the connection fails and not the service.

        A local agent is polled again after any failure.
        """
        timing, failures = self._schedule.initial(), 0
        while not scope.cancel_called:
            end = await self._poll_until_failure(watch, scope, timing)
            if scope.cancel_called:
                return
            failures = 1 if end.answered else failures + 1
            if end.timed_out and (failures <= MAX_RECONNECTS or self.local_agent):
                # Reconnect at once: changes that the silent connection missed soon count as notified. The
                # backoff of the decision module, used after a refusal, took up to 1.5 s of the 6 s allowed.
                if failures == 1:
                    logger.info("discovery watch timed out at version {}: reconnecting", self.version)
                await trio.sleep(self._schedule.reconnect_delay())
            elif self.local_agent:
                await self._wait_for_agent()
            else:
                return
            timing = self._schedule.after_failure()

    async def _wait_for_agent(self) -> None:
        delay = self._schedule.agent_retry_delay()
        if not self.agent_unreachable:
            self.agent_unreachable = True
            logger.warning(
                "discovery agent unreachable at version {}: retrying every {} s", self.version, delay
            )
        await trio.sleep(delay)

    async def _poll_until_failure(
        self, watch: Watch, scope: trio.CancelScope, timing: PollTiming
    ) -> WatchEnd:
        answered = False
        while True:
            polled_at = self.timers.clock()
            try:
                update = await self._poll(watch, timing)
            except (PollError, SettingsError) as error:
                if not scope.cancel_called:
                    self._on_poll_error(error)
                return WatchEnd(isinstance(error, PollTimeoutError), answered)
            if scope.cancel_called:  # the list may have arrived just as the watch was cancelled
                return WatchEnd(timed_out=False, answered=answered)
            answered = True
            if self._may_be_restarted and not update.complete:
                self._schedule.schedule_restart_check(self.timers.clock())
            if self._is_stale(update):
                watch.close()
                await trio.sleep(self._schedule.reconnect_delay())
                continue
            if self._is_unconfirmed_empty_list(update):
                await trio.sleep(self._schedule.empty_list_recheck_delay())
                continue
            self._accept(update)
            if self.timers.clock() - polled_at < MIN_POLL_INTERVAL:
                await trio.sleep(MIN_POLL_INTERVAL)  # the service answers at once, whatever the wait
            timing = self._schedule.subsequent()

    async def _poll(self, watch: Watch, timing: PollTiming) -> EndpointListUpdate:
        """Poll for changes, or for the whole list if that is due, which is answered without a wait."""
        now = self.timers.clock()
        if self.version is None or now >= self._schedule.full_poll_at:
            self._schedule.postpone_full_poll(now)  # in case this poll fails
            update = await watch.poll(ENDPOINTS_PATH, timing.grace)
            self._may_be_restarted = False
            return update
        wait = timing.wait
        if not self._list_has_servers or self._may_be_restarted:
            wait = min(wait, max(self._schedule.full_poll_at - now, MIN_POLL_INTERVAL))
        target = f"{ENDPOINTS_PATH}?index={self.version}&wait={int(wait * 1000)}"
        return await watch.poll(target, wait + timing.grace)

    def _on_connection_lost(self) -> None:
        self._may_be_restarted = True

    def _on_poll_error(self, error: PollError | SettingsError) -> None:
        if isinstance(error, SettingsError):
            logger.warning("invalid endpoint list: {}", error)
            self.version = None  # changes cannot be applied on top of an invalid list
        elif isinstance(error, PollTimeoutError) and self.moved:
            self.version = None  # its numbers may differ: it may be waiting for a version far ahead

    def _is_unconfirmed_empty_list(self, update: EndpointListUpdate) -> bool:
        """Whether to keep the former list, since this one has no server, and poll the whole list again.

        When an empty list was accepted at once, a momentary empty answer stayed in effect until the version
        of the list changed.
        """
        if not update.complete or _has_servers(update) or not self._list_has_servers:
            return False
        hold = self._schedule.empty_list_hold(self._drain_grace)
        if hold <= 0.0:
            return False
        if self._empty_list_timer is None:
            logger.warning(
                "discovery lists no server at version {}: polling again for {:.2f} s", update.rev, hold
            )
            accept_at = self.timers.clock() + hold
            self._empty_list_timer = self.timers.call_at(accept_at, self._accept, update)
        self.version = None
        return True

    def _discard_unconfirmed_list(self) -> None:
        if self._empty_list_timer is not None:
            self.timers.cancel(self._empty_list_timer)
            self._empty_list_timer = None

    def _accept(self, update: EndpointListUpdate) -> None:
        """Accept a list and pass it on."""
        self._discard_unconfirmed_list()
        had_servers = self._list_has_servers
        self._list_has_servers = _has_servers(update) or (had_servers and not update.complete)
        if update.complete and not self._list_has_servers:
            if had_servers or self.newest_version is None:
                logger.warning("discovery lists no server at version {}: using none", update.rev)
            self._schedule.schedule_empty_list_recheck(self.timers.clock())
        elif update.complete:
            self._schedule.cancel_full_poll()
        elif self.moved:
            self._schedule.postpone_full_poll(self.timers.clock())
        self.moved = False
        if self.agent_unreachable:
            self.agent_unreachable = False
            logger.info("discovery agent reachable again at version {}", update.rev)
        self.on_update(update)
        self.version = self.newest_version = (
            update.rev
        )  # set last: an update that could not be used is sent again

    def _is_stale(self, update: EndpointListUpdate) -> bool:
        """Whether to discard a list and poll the whole list on a new connection.

        An older list from a lagging replica of the service would revert a newer one: this made a draining
        server available again. A service that restarted its version numbers sends the older whole list a
        second time, and it is accepted then. A list from an agent counts as notified whatever its version.
        """
        if self.newest_version is None or update.rev >= self.newest_version or self.local_agent:
            self._older_full_list_seen = False
            return False
        self.version = None
        if not update.complete:
            return True
        self._older_full_list_seen = not self._older_full_list_seen
        return self._older_full_list_seen and not self.moved


def _has_servers(update: EndpointListUpdate) -> bool:
    """Whether a list contains a server that is not gone."""
    return any(target.address is not None for target in update.targets)
