"""The client of discovery: keeps one watch at a time on the endpoint list and passes updates on.

Its polls' times, with the worst case until a change is known, are in `discovery_schedule`; the HTTP calls are
in `discovery_watch`.
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

    timed_out: bool  # the last poll got no answer; else it failed
    answered: bool  # whether any poll before it was answered


class DiscoveryClient:
    """Follows the endpoint list by one watch at a time."""

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
    ) -> None:
        """`version`: of the list that is known already, None to poll the whole list first.

        `on_failure` is called when a watch has ended; `start_watch` begins the next one. `local_agent`: the
        list is pushed to an agent on this machine, which is polled again at once, whatever it answers.
        `drain_grace`: seconds for which servers that have left the list may still be used.
        """
        self.nursery = nursery
        self.timers = timers
        self.address = address
        self.version = version  # from which changes are asked for; None: the whole list is
        self.on_update = on_update
        self.on_failure = on_failure
        self.local_agent = local_agent
        self.agent_unreachable = False
        self.moved = False  # to an address that has not answered yet: it may count versions in its own way
        self.newest_version = version  # of the lists that were taken over
        self._older_full_list_seen = False  # since the last list that was taken over
        self._schedule = DiscoverySchedule(seed, local_agent)
        self._drain_grace = drain_grace
        self._list_has_servers = version is not None  # whether the list that is followed does
        self._empty_list_timer: Timer | None = None  # when a list that names nobody is believed
        self._watch_scope: trio.CancelScope | None = None

    def move(self, address: Address) -> None:
        """Discovery is at another address, and may count its versions anew.

        It is polled by the known version, and for the whole list only once it shows another count, or later.
        Polled by all routers at once, whole lists took longer than a change may take to be known, and calls
        were rejected: routers went on for 12 s by the former list, and forwarded to draining servers.
        The former watch ends now: a list that it still brought would undo what the new one tells.
        """
        self.address, self.moved = address, True
        self._discard_unconfirmed_list()
        if self.local_agent:
            self.version = None
        self._schedule.on_discovery_moved()
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    def start_watch(self) -> None:
        """Begin a watch, in place of the current one if that has not ended."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        self._watch_scope = trio.CancelScope()
        self.nursery.start_soon(self._run_watch, self._watch_scope)

    async def _run_watch(self, scope: trio.CancelScope) -> None:
        watch = Watch(self.address, self.timers)
        watch.drops_late_copies = self.local_agent
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
        """Poll and reconnect, for as long as it is the connection that fails and not the service."""
        timing, failures = self._schedule.initial(), 0
        while not scope.cancel_called:
            end = await self._poll_until_failure(watch, scope, timing)
            if scope.cancel_called:
                return
            failures = 1 if end.answered else failures + 1
            if end.timed_out and (failures <= MAX_RECONNECTS or self.local_agent):
                # At once: all that the silent connection missed counts as notified soon, and a backoff of the
                # decision module, as after a refusal, took up to 1.5 s of the 6.
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
            if scope.cancel_called:  # the list may have come just as the watch was cancelled
                return WatchEnd(timed_out=False, answered=answered)
            answered = True
            if self._is_stale(update):
                watch.close()
                await trio.sleep(self._schedule.reconnect_delay())
                continue
            if self._is_unconfirmed_empty_list(update):
                await trio.sleep(self._schedule.empty_list_recheck_delay())
                continue
            self._accept(update)
            if self.timers.clock() - polled_at < MIN_POLL_INTERVAL:
                await trio.sleep(MIN_POLL_INTERVAL)  # a service that answers at once, whatever the wait
            timing = self._schedule.subsequent()

    async def _poll(self, watch: Watch, timing: PollTiming) -> EndpointListUpdate:
        """A poll for changes, or for the whole list where that is wanted, which is not waited for."""
        now = self.timers.clock()
        if self.version is None or now >= self._schedule.full_poll_at:
            self._schedule.postpone_full_poll(now)  # should this poll fail
            return await watch.poll(ENDPOINTS_PATH, timing.grace)
        wait = timing.wait
        if not self._list_has_servers:
            wait = min(wait, max(self._schedule.full_poll_at - now, MIN_POLL_INTERVAL))
        target = f"{ENDPOINTS_PATH}?index={self.version}&wait={int(wait * 1000)}"
        return await watch.poll(target, wait + timing.grace)

    def _on_poll_error(self, error: PollError | SettingsError) -> None:
        if isinstance(error, SettingsError):
            logger.warning("invalid endpoint list: {}", error)
            self.version = None  # changes on top of a list that was not understood would not add up
        elif isinstance(error, PollTimeoutError) and self.moved:
            self.version = None  # a service with another count may wait for a version that is far away

    def _is_unconfirmed_empty_list(self, update: EndpointListUpdate) -> bool:
        """Whether a list names nobody, and the one before is still used while the whole list is polled again.

        Believed at once, an empty answer of one moment stood until the version of the list changed.
        """
        if not update.complete or _has_servers(update) or not self._list_has_servers:
            return False
        hold = self._schedule.empty_list_hold(self._drain_grace)
        if hold <= 0.0:
            return False
        if self._empty_list_timer is None:
            logger.warning(
                "discovery lists no server at version {}: asked again for {:.2f} s", update.rev, hold
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
        """Take a list over and pass it on."""
        self._discard_unconfirmed_list()
        had_servers = self._list_has_servers
        self._list_has_servers = _has_servers(update) or (had_servers and not update.complete)
        if update.complete and not self._list_has_servers:
            if had_servers or self.newest_version is None:
                logger.warning("discovery lists no server at version {}: none is used", update.rev)
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
        self.version = self.newest_version = update.rev  # only now: what could not be used must come again

    def _is_stale(self, update: EndpointListUpdate) -> bool:
        """Whether a list is not to be taken over, and the whole one to be polled on a new connection.

        An older list, from a replica of the service that lags, would undo what a newer one told: a draining
        server came back by it. A service that counts its versions anew sends the same again, and is believed
        then. What an agent has counts as told whatever its version.
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
    """Whether a list names a server that has not gone."""
    return any(target.address is not None for target in update.targets)
