"""`gaugehinge tenant`: tenants by the administration API."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from functools import wraps
from typing import TYPE_CHECKING, Any

import click

from .api_options import ApiOptions, api_client, api_options, format_value, pass_api, print_rows
from .main import BadInput

if TYPE_CHECKING:
    from ..admin.client import Client

COLUMNS = ("name", "stage", "share", "allowance", "memory", "incarnation", "revision")
AUDIT_COLUMNS = ("revision", "at", "who", "kind", "ident", "what")
SUMMARY_FIELDS = ("stage", "share", "allowance", "role")  # of a change's body, in the audit log
NO_TRAFFIC = "="  # given to --traffic: no traffic types of its own


@click.group("tenant", epilog="Example: gaugehinge tenant add acme --share 2 --allowance 500")
@api_options
def command() -> None:
    """Add, change and remove tenants by the administration API.

    Each change is made for the tenant as it stands when the command begins: where another admin comes
    between, it is rejected and nothing changes.
    """


def _with_client(subcommand: Callable[..., Any]) -> Callable[..., None]:
    """Pass the client to a subcommand, and print the tenant or tenants that it returns."""

    @pass_api
    @wraps(subcommand)
    def wrapped(options: ApiOptions, **arguments: Any) -> None:
        with api_client(options) as client:
            result = subcommand(client, **arguments)
        if result is not None:
            print_rows(result if isinstance(result, list) else [result], COLUMNS, options.as_json)

    return wrapped


def _rule_options(subcommand: Callable[..., Any]) -> Callable[..., Any]:
    """Options for a tenant's own traffic types and limits."""
    traffic_help = "One of its own traffic types; `=` alone: none of its own."
    for option in (
        click.option("--most-value", type=int, help="Bytes of a value that it may write."),
        click.option("--longest-wait", type=float, help="Seconds that its clients may wait."),
        click.option("--traffic", multiple=True, metavar="OWN=TYPE", help=traffic_help),
    ):
        subcommand = option(subcommand)
    return subcommand


def _given_fields(options: dict[str, Any]) -> dict[str, Any]:
    """The options that were given, as fields of the API. Raises BadInput."""
    fields = {field: value for field, value in options.items() if value is not None and value != ()}
    if "traffic" in fields:
        fields["traffic"] = dict(_traffic_pair(pair) for pair in fields["traffic"] if pair != NO_TRAFFIC)
    return fields


def _traffic_pair(text: str) -> tuple[str, str]:
    """`OWN=TYPE`, split. Raises BadInput."""
    own, separator, traffic_type = text.partition("=")
    if not own or not separator or not traffic_type:
        raise BadInput("--traffic: OWN=TYPE")
    return own, traffic_type


@command.command("list")
@_with_client
def list_all(client: Client) -> Any:
    """All tenants."""
    return client.tenants()


@command.command("show")
@click.argument("name")
@_with_client
def show(client: Client, name: str) -> Any:
    """One tenant."""
    return client.tenant(name).body


@command.command("add")
@click.argument("name")
@click.option("--share", type=float, default=1.0, show_default=True)
@click.option("--allowance", type=float, default=0.0, show_default=True, help="Operations a second.")
@click.option(
    "--memory", type=float, default=0.0, show_default=True, help="Seconds that marks are remembered."
)
@click.option("--active", is_flag=True, help="Take its operations at once.")
@_rule_options
@_with_client
def add(
    client: Client, name: str, share: float, allowance: float, memory: float, active: bool, **rules: Any
) -> Any:
    """Make a tenant."""
    figures = {"name": name, "share": share, "allowance": allowance, "memory": memory}
    made = client.create("/v1/tenants", {**figures, **_given_fields(rules)})
    return client.change_tenant("POST", name, "/activate") if active else made


@command.command("resize")
@click.argument("name")
@click.option("--share", type=float)
@click.option("--allowance", type=float)
@click.option("--memory", type=float)
@_rule_options
@_with_client
def resize(client: Client, name: str, **figures: Any) -> Any:
    """Change its figures and rules."""
    fields = _given_fields(figures)
    if not fields:
        raise BadInput("nothing to change: --share, --allowance, --memory or a rule")
    return client.change_tenant("PATCH", name, body=fields)


@command.command("activate")
@click.argument("name")
@_with_client
def activate(client: Client, name: str) -> Any:
    """Take its operations."""
    return client.change_tenant("POST", name, "/activate")


@command.command("suspend")
@click.argument("name")
@_with_client
def suspend(client: Client, name: str) -> Any:
    """Take none of its operations for now."""
    return client.change_tenant("POST", name, "/suspend")


@command.command("remove")
@click.argument("name")
@click.option("--yes", is_flag=True, help="Do not ask.")
@_with_client
def remove(client: Client, name: str, yes: bool) -> Any:
    """Let it leave; its name is free at once."""
    if not yes and not click.confirm(f"remove {name}?"):
        raise click.Abort
    client.change_tenant("DELETE", name)
    click.echo(f"{name} leaves")


@command.command("credential")
@click.argument("name")
@click.option(
    "--overlap", type=float, default=86400.0, show_default=True, help="Seconds that the one in use goes on."
)
@_with_client
def credential(client: Client, name: str, overlap: float) -> Any:
    """A new secret, shown this once."""
    made = client.create(f"/v1/tenants/{name}/credentials", {"overlap": overlap})
    click.echo(made["secret"])


@command.command("revoke")
@click.argument("name")
@click.argument("ident")
@_with_client
def revoke(client: Client, name: str, ident: str) -> Any:
    """End a secret at once, by the middle part of it."""
    client.call("DELETE", f"/v1/tenants/{name}/credentials/{ident}")
    click.echo(f"{ident} ended")


@command.command("audit")
@click.option("--since", type=int, default=0, show_default=True, help="Behind this revision.")
@click.option("--limit", type=int, default=100, show_default=True)
@pass_api
def audit(options: ApiOptions, since: int, limit: int) -> None:
    """What was changed, when, and by whom."""
    with api_client(options) as client:
        rows = client.call("GET", f"/v1/audit?since={since}&limit={limit}").body["changes"]
    if not options.as_json:
        for row in rows:
            row["at"] = datetime.fromtimestamp(row["at"], UTC).strftime("%Y-%m-%d %H:%M:%S")
            row["what"] = "removed" if row["removed"] else _summary(row["body"])
    print_rows(rows, AUDIT_COLUMNS, options.as_json)


def _summary(body: Any) -> str:
    if not isinstance(body, dict):
        return str(body)
    return ", ".join(f"{name}={format_value(body[name])}" for name in SUMMARY_FIELDS if name in body)
