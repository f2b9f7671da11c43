"""`gaugehinge store`: backup, restore and verify of a store's file."""

from __future__ import annotations

from typing import Any

import click

from .main import BadInput, Exit


def _refused(call: Any, *given: Any) -> Any:
    """A call on a store; a damaged one is one line and exit 2."""
    from ..store.store import StoreUnusableError

    try:
        return call(*given)
    except StoreUnusableError as bad:
        raise BadInput(str(bad)) from None
    except OSError as bad:
        raise BadInput(f"{bad.filename or given[0]}: {bad.strerror}") from None


@click.group("store", epilog="Example: gaugehinge store verify /var/lib/gaugehinge/store.db")
def command() -> None:
    """Look after the durable store."""


@command.command("verify")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def verify(file: str) -> None:
    """Look at every page, row and digest of a store or snapshot."""
    from ..store.store import Store

    store = _refused(Store, file, True)
    _refused(store.verify)
    revision, items = _refused(store.read_all)
    click.echo(f"{file}: good: revision {revision}, {len(items)} things, log from {store.oldest_revision}")


@command.command("backup")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("target", type=click.Path(dir_okay=False))
def backup(file: str, target: str) -> None:
    """Copy a store to TARGET while it is in use."""
    from ..store.store import Store

    store = _refused(Store, file, True)
    revision = _refused(store.backup, target)
    click.echo(f"{target}: revision {revision}")


@command.command("restore")
@click.argument("snapshot", type=click.Path(exists=True, dir_okay=False))
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--yes", is_flag=True, help="Do not ask, though a file stands there.")
def restore(snapshot: str, file: str, yes: bool) -> None:
    """Put a snapshot in a store's place, while nothing uses it; what stood there is kept as FILE.replaced."""
    from pathlib import Path

    from ..store.store import restore as put_back

    if Path(file).exists() and not yes and not click.confirm(f"replace {file}?"):
        raise click.exceptions.Exit(Exit.BROKEN)
    revision = _refused(put_back, snapshot, file)
    click.echo(f"{file}: revision {revision}")
