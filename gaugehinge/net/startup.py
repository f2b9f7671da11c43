"""Decides when a starting router becomes ready: with a cached endpoint list, with the first list
from discovery, or after a timeout.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from ..routing.types import EndpointState
from ..settings import SettingsError
from .configuration import Configuration
from .endpoint_list import EndpointListUpdate, read_endpoint_list
from .lifecycle import Phase

if TYPE_CHECKING:
    from .service import Service

STARTUP_TIMEOUT = 2.0  # seconds; without a usable cached list, clients are served after this at the latest


def read_cached_list(configuration: Configuration) -> EndpointListUpdate | None:
    """Return the endpoint list cached by an earlier process; None if there is none or it is invalid."""
    if configuration.cached_list is None:
        return None
    try:
        return read_endpoint_list(configuration.cached_list)
    except SettingsError as error:
        logger.warning("cached endpoint list not used: {}", error)
        return None


class Startup:
    """Takes a service from STARTING to READY."""

    def __init__(self, service: Service, cached: EndpointListUpdate | None) -> None:
        """`cached` is the endpoint list of an earlier process, if there is one."""
        self.service = service
        self.cached = cached

    def use_cached_list(self) -> None:
        """Use the cached list, unless lists are pushed to an agent on this machine.

        The router counts as notified of what the agent holds from the start: with the cached list, attempts
        went to servers that had been told to drain. The cached list is then used only if the agent does not
        respond.
        """
        if self.cached is not None and not self._endpoints_pushed:
            self.service.dispatcher.follow_endpoints(self.cached, cached=True)

    def begin(self) -> None:
        """Become ready now if the cached list has a server that is up, else after STARTUP_TIMEOUT at most."""
        timers = self.service.timers
        latest = timers.clock() + STARTUP_TIMEOUT
        if self._endpoints_pushed:
            timers.call_at(latest, self._serve_without_agent)
        elif self._has_server_up() and self.service.lifecycle.phase is Phase.STARTING:
            self.become_ready()
        else:
            timers.call_at(latest, self.become_ready)

    def become_ready(self) -> None:
        """Begin to serve clients, if the router is still starting."""
        if self.service.lifecycle.phase is Phase.STARTING:
            self.service.enter(Phase.READY)

    def _serve_without_agent(self) -> None:
        if self.cached is not None and self.service.lifecycle.phase is Phase.STARTING:
            logger.warning(
                "agent does not respond: using the cached endpoint list, version {}", self.cached.rev
            )
            self.service.dispatcher.on_endpoints_changed(self.cached, cached=True)
        self.become_ready()

    @property
    def _endpoints_pushed(self) -> bool:
        return self.service.configuration.settings.endpoints_pushed

    def _has_server_up(self) -> bool:
        targets = self.cached.targets if self.cached is not None else ()
        return any(target.entry.state is EndpointState.UP for target in targets)
