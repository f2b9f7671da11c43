"""The group of commands, logging and exit codes."""

from __future__ import annotations

import importlib
import sys
from enum import IntEnum

import click
from loguru import logger

from .. import __version__

FORM = "{time:HH:mm:ss.SSS} {level.name} {message}"
COMMANDS = (
    "check",
    "control-plane",
    "demo",
    "emulate",
    "load",
    "rehearse",
    "report",
    "routers",
    "schema",
    "serve",
    "server",
    "store",
    "tenant",
)
FORMER_NAMES = {"keep": "control-plane", "tier": "routers"}  # run, but not shown in the help


class Exit(IntEnum):
    """Exit codes of all commands."""

    GOOD = 0
    BROKEN = 1  # a rule was broken, an expectation not met, or a run failed
    BAD_INPUT = 2  # one line on standard error names file and field


class Commands(click.Group):
    """Commands by name, each from a module of its own."""

    def list_commands(self, context: click.Context) -> list[str]:
        """The names in the order of the help."""
        return list(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """A command by its name, its module imported only now; None if there is none."""
        if name not in COMMANDS:
            return None
        module = f"..{name.replace('-', '_')}_command"
        return importlib.import_module(module, __name__).command

    def resolve_command(
        self, context: click.Context, words: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """The command that the words name; one that goes by its former name is warned of."""
        name = words[0]
        if name in FORMER_NAMES:
            click.echo(f"gaugehinge {name}: now called gaugehinge {FORMER_NAMES[name]}", err=True)
            name = FORMER_NAMES[name]
        return super().resolve_command(context, [name, *words[1:]])


def set_up_log(form: str, level: str) -> None:
    """One line an entry on standard error: text, or a JSON object each."""
    logger.remove()
    if form == "json":
        logger.add(sys.stderr, serialize=True, level=level, diagnose=False)
    else:
        logger.add(sys.stderr, format=FORM, level=level, diagnose=False)


class BadInput(click.ClickException):
    """Input that makes no sense: one line, exit 2."""

    exit_code = Exit.BAD_INPUT

    def show(self, file: object = None) -> None:
        """Write the line to standard error."""
        click.echo(self.message, err=True)


@click.command(cls=Commands, epilog="Example: gaugehinge demo")
@click.option(
    "--log",
    "form",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Form of the log on standard error.",
)
@click.option(
    "--log-level",
    "level",
    default="INFO",
    show_default=True,
    type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"], case_sensitive=False),
)
@click.version_option(__version__, prog_name="gaugehinge")
def main(form: str, level: str) -> None:
    """Router for fleets of cache servers, and what rehearses its bad mornings.

    Exit codes: 0 good; 1 a rule was broken or a run failed; 2 bad input, with one line that names file
    and field.
    """
    set_up_log(form, level.upper())
