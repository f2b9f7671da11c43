"""What the commands that call the administration API share: options, the client, output as a table."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import wraps
from typing import TYPE_CHECKING, Any

import click

from .main import BadInput

if TYPE_CHECKING:
    from ..admin.client import Client

DEFAULT_URL = "http://127.0.0.1:7400"
BAD_INPUT_STATUSES = (400, 404, 415, 422)  # of the API, where it is the input of the command that is wrong


@dataclass(slots=True, frozen=True)
class ApiOptions:
    """Where the API is, whose secret goes with each call, and the form of the output."""

    url: str
    secret: str
    as_json: bool


pass_api = click.make_pass_decorator(ApiOptions)
"""Passes the `ApiOptions` of the group to a subcommand."""


def api_options(group: Callable[[], None]) -> Callable[..., None]:
    """Options of a group, kept for its subcommands."""

    @click.option(
        "--api",
        default=DEFAULT_URL,
        show_default=True,
        envvar="GAUGEHINGE_API",
        help="Where the control plane serves.",
    )
    @click.option(
        "--secret", envvar="GAUGEHINGE_SECRET", default="", help="Yours; better in GAUGEHINGE_SECRET."
    )
    @click.option("--json", "as_json", is_flag=True, help="JSON in place of a table.")
    @click.pass_context
    @wraps(group)
    def with_options(context: click.Context, api: str, secret: str, as_json: bool) -> None:
        context.obj = ApiOptions(api, secret, as_json)
        group()

    return with_options


@contextmanager
def api_client(options: ApiOptions) -> Iterator[Client]:
    """A client of the API; whatever the API rejects is one line, with exit code 1, or 2 for bad input."""
    import httpx

    from ..admin.client import CallRejectedError, Client

    client = Client(options.url, options.secret)
    try:
        yield client
    except CallRejectedError as error:
        kind = BadInput if error.status in BAD_INPUT_STATUSES else click.ClickException
        raise kind(str(error)) from None
    except (httpx.TransportError, httpx.InvalidURL) as error:
        raise click.ClickException(f"{options.url}: {error or type(error).__name__}") from None
    finally:
        client.close()


def print_rows(rows: list[dict[str, Any]], columns: tuple[str, ...], as_json: bool) -> None:
    """Print rows of the API as JSON, or as a table of some columns."""
    if as_json:
        click.echo(json.dumps(rows))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(*columns, box=None)
    for row in rows:
        table.add_row(*(format_value(row.get(column)) for column in columns))
    Console().print(table)


def format_value(value: Any) -> str:
    """A value as a cell of a table."""
    if isinstance(value, float):
        return f"{value:g}"
    return "" if value is None else str(value)
