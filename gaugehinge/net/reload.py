"""Reload on SIGHUP: which parts of the configuration a running service takes over."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from loguru import logger

from ..settings import SettingsError
from .configuration import restart_only_changes
from .resource_limits import divide_resources

if TYPE_CHECKING:
    from .service import Service


def reload_configuration(service: Service) -> None:
    """Apply what can change without a restart: discovery, peers, memory and descriptors.

    An invalid configuration changes nothing and is logged. Each changed field that needs a restart is
    logged too.
    """
    old = service.configuration
    try:
        new = service.reread()
    except SettingsError as error:
        logger.warning("configuration not reloaded: {}", error)
        return
    for field in restart_only_changes(old, new):
        logger.warning("configuration: the change of {} needs a restart", field)
    service.configuration = replace(
        old, discovery=new.discovery, peers=new.peers, memory=new.memory, sockets=new.sockets
    )
    logger.info("configuration reloaded: discovery at {}:{}", *new.discovery)
    divide_resources(new, service.fronts, service.pool)
    if service.gossip is not None:
        service.gossip.set_peers(new.peers)
    if new.discovery != old.discovery:
        service.discovery.move(new.discovery)
        service.dispatcher.on_discovery_changed()
