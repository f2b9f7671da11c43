"""When a router that starts becomes ready: by a list kept from before, discovery's first one, or by time."""

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

STARTUP_TIMEOUT = 2.0  # with no list kept from before, clients are let in after this at the latest (seconds)


def read_cached_list(configuration: Configuration) -> EndpointListUpdate | None:
    """The list that this router had before; a bad one is as none."""
    if configuration.cached_list is None:
        return None
    try:
        return read_endpoint_list(configuration.cached_list)
    except SettingsError as error:
        logger.warning("cached endpoint list not used: {}", error)
        return None


class Startup:
    """Sees a service from STARTING to READY."""

    def __init__(self, service: Service, cached: EndpointListUpdate | None) -> None:
        """`cached`: the endpoint list kept from before, if there is one."""
        self.service = service
        self.cached = cached

    def use_cached_list(self) -> None:
        """Follow the list kept from before, unless lists are pushed to an agent here.

        What the agent has counts as notified from the first moment on: by a list kept from before, attempts
        went to servers that had been told to drain. Only with the agent away it serves.
        """
        if self.cached is not None and not self._endpoints_pushed:
            self.service.dispatcher.follow_endpoints(self.cached, cached=True)

    def begin(self) -> None:
        """Become ready now where the cached list has a server that is up, else by time at the latest."""
        timers = self.service.timers
        latest = timers.clock() + STARTUP_TIMEOUT
        if self._endpoints_pushed:
            timers.call_at(latest, self._serve_without_agent)
        elif self._has_server_up() and self.service.lifecycle.phase is Phase.STARTING:
            self.become_ready()
        else:
            timers.call_at(latest, self.become_ready)

    def become_ready(self) -> None:
        """Let clients in, where the router is still starting."""
        if self.service.lifecycle.phase is Phase.STARTING:
            self.service.enter(Phase.READY)

    def _serve_without_agent(self) -> None:
        if self.cached is not None and self.service.lifecycle.phase is Phase.STARTING:
            logger.warning("agent does not answer: serving by the cached list, version {}", self.cached.rev)
            self.service.dispatcher.on_endpoints_changed(self.cached, cached=True)
        self.become_ready()

    @property
    def _endpoints_pushed(self) -> bool:
        return self.service.configuration.settings.endpoints_pushed

    def _has_server_up(self) -> bool:
        targets = self.cached.targets if self.cached is not None else ()
        return any(target.entry.state is EndpointState.UP for target in targets)
