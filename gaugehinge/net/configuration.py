"""Where a router lies: its addresses, limits and first list, as the platform's configuration tells them."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ..settings import Settings, SettingsError, SettingsReader, parse_json, read_settings

Address = tuple[str, int]

LEAST_SOCKETS = 64  # with fewer there is no room for clients beside the attempts


@dataclass(slots=True, frozen=True)
class Configuration:
    """Told once, at the start."""

    name: str
    listen: Address
    discovery: Address
    settings: Settings
    memory: int  # bytes
    sockets: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    known: Any  # the list as last had, in discovery's form, or None


def address(text: Any, field: str) -> Address:
    """`10.0.0.4:6379` or `[::1]:6379`: numbers only, since there is no DNS."""
    try:
        host, _, port = text.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        ipaddress.ip_address(host)
        number = int(port)
    except (AttributeError, ValueError):
        raise SettingsError(f"{field}: not an address and port") from None
    if not 0 < number < 65536:
        raise SettingsError(f"{field}: no such port")
    return host, number


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """The configuration that LB_CONFIG names; the other variables stand in for what it leaves out."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise SettingsError("LB_CONFIG: missing")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as bad:
        raise SettingsError(f"LB_CONFIG: cannot read {path}: {type(bad).__name__}") from None
    page = SettingsReader(parse_json(text))
    limits = page.page("limits", {})
    told = read_settings(_seed(page), page.page("settings").values, "settings")
    # Over HTTP nothing comes unasked, whatever the bench does for this deployment.
    told = replace(told, deployment=replace(told.deployment, must_poll=True))
    peer_listen = page.text("peer_listen", "")
    return Configuration(
        name=page.text("name", environment.get("LB_NAME", "router")),
        listen=address(page.text("listen", environment.get("LB_LISTEN")), "listen"),
        discovery=address(page.text("discovery", environment.get("LB_DISCOVERY")), "discovery"),
        settings=told,
        memory=limits.count("memory_mb", 2048, least=32) << 20,
        sockets=limits.count("sockets", 4096, least=LEAST_SOCKETS),
        peer_listen=address(peer_listen, "peer_listen") if peer_listen else None,
        peers=tuple(address(peer, f"peers[{i}]") for i, peer in enumerate(page.row("peers", []))),
        known=page.values.get("known"),
    )


def lasting(old: Configuration, new: Configuration) -> list[str]:
    """The fields that differ and cannot change in service."""
    deployment = replace(new.settings.deployment, seed=old.settings.deployment.seed)
    return [
        name
        for name, same in (
            ("listen", old.listen == new.listen),
            ("peer_listen", old.peer_listen == new.peer_listen),
            ("settings", old.settings == replace(new.settings, deployment=deployment)),
        )
        if not same
    ]


def _seed(page: SettingsReader) -> int:
    text = page.values.get("seed", "0")
    try:
        return int(text, 16) if isinstance(text, str) else int(text)
    except (TypeError, ValueError):
        raise SettingsError("seed: not a hexadecimal number") from None
