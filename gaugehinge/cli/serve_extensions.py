"""What `gaugehinge serve` builds beside the router itself, from the installation file."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from .main import BadInput

if TYPE_CHECKING:
    import trio

    from ..cluster.slot_routing import SlotRouting
    from ..drains.router import DrainsAgent
    from ..hosted.control_plane_watch import ControlPlaneWatch
    from ..installation.form import Installation
    from ..net.admission_control import AdmissionControl
    from ..net.client_server import ClientServer
    from ..net.extensions import ExtensionBuilder, Extensions
    from ..net.service import Service
    from ..placement.router import RouterPlacement
    from ..recovery.driver import Recovery

WatchBuilder = Callable[["Service", "trio.Nursery"], "ControlPlaneWatch"]


def admission_control_builder(installation: Installation) -> Callable[..., AdmissionControl] | None:
    """What makes the admission control; None where it is switched off."""
    if not installation.door.on:
        return None
    from ..admission.admission_control import FairAdmissionControl

    if not installation.follow.keeper:
        return partial(FairAdmissionControl, label=installation.door.client)
    from ..hosted.build import tenant_of_connection

    return partial(FairAdmissionControl, label=installation.door.client, tenant_of=tenant_of_connection)


def client_server_class(installation: Installation) -> type[ClientServer]:
    """What serves the platform's clients."""
    if installation.follow.keeper:
        from ..hosted.front import HostedClientServer

        return HostedClientServer
    from ..net.client_server import ClientServer

    return ClientServer


def extension_builder(installation: Installation, file: str) -> ExtensionBuilder | None:
    """What builds the subsystems that are switched on; None where none is.

    Secrets and keys are read now. Raises BadInput, which names `file` and the field.
    """
    build_fleet = _fleet_builder(installation)
    build_watch = _watch_builder(installation, file)
    build_placement = _placement_builder(installation)
    build_drains = _drains_builder(installation, file)
    build_recovery = _recovery_builder(installation, file)
    if build_fleet is None and build_watch is None and build_recovery is None:
        return None
    from ..subsystems import Subsystems

    def build(service: Service, nursery: trio.Nursery) -> Extensions:
        watch = placement = drains = None
        fleet = build_fleet(service, nursery) if build_fleet is not None else None
        if build_watch is not None:
            watch = build_watch(service, nursery)
            placement = build_placement(service, watch) if build_placement is not None else None
            drains = build_drains(service, nursery, watch) if build_drains is not None else None
        recovery = build_recovery(service, nursery, watch) if build_recovery is not None else None
        return Subsystems(fleet, watch, placement, drains, recovery).extensions()

    return build


def _fleet_builder(
    installation: Installation,
) -> Callable[[Service, trio.Nursery], SlotRouting | None] | None:
    if not (installation.cluster.listen or installation.cluster.servers):
        return None
    from ..cluster.build import build_cluster

    return partial(build_cluster, installation=installation)


def _watch_builder(installation: Installation, file: str) -> WatchBuilder | None:
    if not installation.follow.keeper:
        return None
    from ..hosted.build import control_plane_watch_builder
    from ..hosted.errors import SecretFileError

    try:
        return control_plane_watch_builder(installation)
    except SecretFileError as error:
        raise BadInput(f"{file}: follow.secret_file: {error}") from error


def _placement_builder(
    installation: Installation,
) -> Callable[[Service, ControlPlaneWatch], RouterPlacement] | None:
    if not (installation.follow.keeper and installation.placement.on):
        return None
    from ..placement.build import build_placement

    return build_placement


def _drains_builder(
    installation: Installation, file: str
) -> Callable[[Service, trio.Nursery, ControlPlaneWatch], DrainsAgent] | None:
    if not (installation.follow.keeper and installation.drains.on):
        return None
    from ..drains.build import NodeFileLockedError, drains_builder

    try:
        return drains_builder(installation)
    except NodeFileLockedError as error:
        raise BadInput(f"{file}: drains.file: {error}") from error


def _recovery_builder(
    installation: Installation, file: str
) -> Callable[[Service, trio.Nursery, ControlPlaneWatch | None], Recovery] | None:
    if not installation.recovery.on:
        return None
    from ..recovery.build import RecoveryKeyError, recovery_builder

    try:
        return recovery_builder(installation)
    except RecoveryKeyError as error:
        raise BadInput(f"{file}: recovery.key_file: {error}") from error
