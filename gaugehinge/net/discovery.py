"""Discovery client: follows the endpoint list and passes updates on.

The timing of polls, with the worst case until a change is known, is in `discovery_schedule`; the order of
polls is in `poll_loop`; the polls that wait for their answers are in `discovery_polls`; the HTTP calls are in
`discovery_watch`.
"""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from ..settings import SettingsError
from .configuration import Address
from .discovery_polls import PendingPoll, PollsInFlight
from .discovery_schedule import MIN_POLL_INTERVAL, DiscoverySchedule, PollTiming
from .discovery_watch import ENDPOINTS_PATH, PollError, Watch
from .endpoint_list import EndpointListUpdate
from .poll_loop import NextPoll, PollLoop, PollRequest
from .timer_queue import Timer, TimerQueue


class DiscoveryClient:
    """Follows the endpoint list."""

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
        self._older_list_seen = False  # since the last list that was accepted, as is the following
        self._older_full_list_seen = False
        self._may_be_restarted = False  # another process may answer, whose version numbers may be unrelated
        self._schedule = DiscoverySchedule(seed, local_agent, router_count)
        self._drain_grace = drain_grace
        self._list_has_servers = version is not None  # whether the list in use names any
        self._empty_list_timer: Timer | None = None  # fires when a list without servers is accepted
        self._loop: PollLoop | None = None
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
        self._stop_watch()

    def start_watch(self) -> None:
        """Start to poll, or poll again after a failure was reported; polls in flight are kept."""
        if self._loop is not None:
            self._loop.resume()
            return
        self._loop = PollLoop(self, self._schedule, self.timers)
        self._watch_scope = trio.CancelScope()
        self.nursery.start_soon(self._run_loop, self._loop, self._watch_scope)

    def _stop_watch(self) -> None:
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        self._loop = self._watch_scope = None

    async def _run_loop(self, loop: PollLoop, scope: trio.CancelScope) -> None:
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    await loop.run(PollsInFlight(nursery))
        except Exception:
            logger.exception("discovery watch failed")
            if self._loop is loop:
                self._loop = self._watch_scope = None
                self.on_failure()

    # -- for the poll loop

    def new_watch(self) -> Watch:
        """Return a watch without a connection."""
        watch = Watch(self.address, self.timers)
        watch.drops_late_copies = self.local_agent
        watch.on_connection_lost = self._on_connection_lost
        return watch

    def next_request(self, timing: PollTiming) -> PollRequest:
        """Ask for changes, or for the whole list if that is due, which is answered without a wait."""
        now = self.timers.clock()
        if self.version is None or now >= self._schedule.full_poll_at:
            self._schedule.postpone_full_poll(now)  # in case this poll fails
            return PollRequest(ENDPOINTS_PATH, 0.0, since=None)
        wait = timing.wait
        if not self._list_has_servers or self._may_be_restarted:
            wait = min(wait, max(self._schedule.full_poll_at - now, MIN_POLL_INTERVAL))
        target = f"{ENDPOINTS_PATH}?index={self.version}&wait={int(wait * 1000)}"
        return PollRequest(target, wait, self.version)

    def needs_full_poll(self) -> bool:
        """Whether changes since a version are of no use."""
        return self.version is None

    def needs_confirmation(self) -> bool:
        """Whether an older whole list is accepted only if it is sent twice, and was not sent yet."""
        return self._older_list_seen and not (self._older_full_list_seen or self.moved)

    def on_list(self, poll: PendingPoll, update: EndpointListUpdate) -> NextPoll:
        """Accept a list or discard it; return when to poll next."""
        if poll.is_full:
            self._may_be_restarted = False
        elif self._may_be_restarted and not update.complete:
            self._schedule.schedule_restart_check(self.timers.clock())
        if self._is_unrelated(poll, update):
            return NextPoll(0.0, self._schedule.subsequent())
        if self._is_stale(update):
            poll.watch.close()
            delay = 0.0 if self.moved else self._schedule.reconnect_delay()
            return NextPoll(delay, poll.timing)
        if self._is_unconfirmed_empty_list(update):
            return NextPoll(self._schedule.empty_list_recheck_delay(), poll.timing)
        self._accept(update)
        # The service may answer at once, whatever the wait.
        is_immediate = self.timers.clock() - poll.sent_at < MIN_POLL_INTERVAL
        return NextPoll(MIN_POLL_INTERVAL if is_immediate else 0.0, self._schedule.subsequent())

    def on_overdue(self) -> None:
        """Poll the whole list next at an address that has not answered."""
        if self.moved:
            self.version = None  # its numbers may differ: it may be waiting for a version far ahead

    def on_poll_error(self, error: PollError | SettingsError) -> None:
        """Poll the whole list after an invalid one: changes cannot be applied on top of it."""
        if isinstance(error, SettingsError):
            logger.warning("invalid endpoint list: {}", error)
            self.version = None

    def agent_retry_delay(self) -> float:
        """Return the delay in seconds after a failed poll of an agent on this machine."""
        delay = self._schedule.agent_retry_delay()
        if not self.agent_unreachable:
            self.agent_unreachable = True
            logger.warning(
                "discovery agent unreachable at version {}: retrying every {} s", self.version, delay
            )
        return delay

    def _on_connection_lost(self) -> None:
        self._may_be_restarted = True

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

    def _is_unrelated(self, poll: PendingPoll, update: EndpointListUpdate) -> bool:
        """Whether an answer has the changes since a version from before the numbers began anew.

        It would lack the changes since then, and have the newest version nonetheless.
        """
        if update.complete or poll.since is None or self.newest_version is None:
            return False
        return poll.since > self.newest_version

    def _is_stale(self, update: EndpointListUpdate) -> bool:
        """Whether to discard a list and poll the whole list on a new connection.

        An older list from a lagging replica of the service would revert a newer one: this made a draining
        server available again. A service that restarted its version numbers sends the older whole list a
        second time, and it is accepted then. A list from an agent counts as notified whatever its version.
        """
        if self.newest_version is None or update.rev >= self.newest_version or self.local_agent:
            self._older_list_seen = self._older_full_list_seen = False
            return False
        self.version = None
        self._older_list_seen = True
        if not update.complete:
            return True
        self._older_full_list_seen = not self._older_full_list_seen
        return self._older_full_list_seen and not self.moved


def _has_servers(update: EndpointListUpdate) -> bool:
    """Whether a list contains a server that is not gone."""
    return any(target.address is not None for target in update.targets)
