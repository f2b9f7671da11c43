"""A router's addresses, limits and first endpoint list, read from the platform's configuration."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ..settings import Settings, SettingsError, SettingsReader, parse_json, read_settings

Address = tuple[str, int]

MIN_SOCKETS = 64  # with fewer, attempts leave no room for clients
MIN_MEMORY_MB = 32
MAX_PORT = 65535
MEGABYTE = 1 << 20


@dataclass(slots=True, frozen=True)
class Configuration:
    """The configuration as read once; SIGHUP makes the router read it again."""

    name: str
    listen: Address  # for the platform's clients
    discovery: Address
    settings: Settings
    memory: int  # in bytes
    sockets: int  # descriptors that the process may use
    peer_listen: Address | None  # for gossip; None: no gossip
    peers: tuple[Address, ...]
    cached_list: Any  # the endpoint list of an earlier process, in discovery's format, or None


def address(text: Any, field: str) -> Address:
    """Parse `10.0.0.4:6379` or `[::1]:6379`; only numeric addresses, since there is no DNS.

    Raises SettingsError, whose message names `field`.
    """
    try:
        host, _, port = text.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        ipaddress.ip_address(host)
        number = int(port)
    except (AttributeError, ValueError):
        raise SettingsError(f"{field}: not an IP address and port") from None
    if not 0 < number <= MAX_PORT:
        raise SettingsError(f"{field}: port out of range")
    return host, number


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Read the file that LB_CONFIG names.

    LB_NAME, LB_LISTEN and LB_DISCOVERY are the defaults for fields that it omits. Raises SettingsError.
    """
    path = environment.get("LB_CONFIG")
    if not path:
        raise SettingsError("LB_CONFIG: missing")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"LB_CONFIG: cannot read {path}: {type(error).__name__}") from error
    reader = SettingsReader(parse_json(text))
    limits = reader.section("limits", {})
    settings = read_settings(_seed(reader), reader.section("settings").values, "settings")
    # Discovery over HTTP sends nothing unasked, whatever the bench does for this deployment.
    settings = replace(settings, deployment=replace(settings.deployment, must_poll=True))
    peer_listen = reader.text("peer_listen", "")
    return Configuration(
        name=reader.text("name", environment.get("LB_NAME", "router")),
        listen=address(reader.text("listen", environment.get("LB_LISTEN")), "listen"),
        discovery=address(reader.text("discovery", environment.get("LB_DISCOVERY")), "discovery"),
        settings=settings,
        memory=limits.count("memory_mb", 2048, minimum=MIN_MEMORY_MB) * MEGABYTE,
        sockets=limits.count("sockets", 4096, minimum=MIN_SOCKETS),
        peer_listen=address(peer_listen, "peer_listen") if peer_listen else None,
        peers=tuple(address(peer, f"peers[{i}]") for i, peer in enumerate(reader.array("peers", []))),
        cached_list=reader.values.get("known"),
    )


def restart_only_changes(old: Configuration, new: Configuration) -> list[str]:
    """Return the names of fields that differ and cannot change without a restart."""
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


def _seed(reader: SettingsReader) -> int:
    text = reader.values.get("seed", "0")
    try:
        return int(text, 16) if isinstance(text, str) else int(text)
    except (TypeError, ValueError):
        raise SettingsError("seed: not a hexadecimal number") from None
