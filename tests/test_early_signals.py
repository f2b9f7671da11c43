"""Signals that reach a router while it starts and just before its process exits."""

import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
import trio

from gaugehinge.net import graceful_shutdown
from gaugehinge.net.extensions import Extensions
from tests.children import run
from tests.helper import fleet

# Sends SIGHUP when the router imports the first of these packages.
PROGRAM_WITH_SIGHUP_ON_IMPORT = """
import os, runpy, signal, sys

class SignalOnImport:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in ("h11", "loguru", "trio", "xxhash"):
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalOnImport())
sys.argv = ["gaugehinge"]
runpy.run_module("gaugehinge", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize("configuration", ["", "{}"], ids=["not JSON", "no field"])
def test_a_sighup_while_the_router_imports_its_packages_does_not_end_it(tmp_path, configuration):
    """The router goes on to read its configuration and reports what is wrong with it."""
    path = tmp_path / "config.json"
    path.write_text(configuration)
    ended = run("-c", PROGRAM_WITH_SIGHUP_ON_IMPORT, env={**os.environ, "LB_CONFIG": str(path)})
    assert ended.returncode == 2
    assert ended.stderr.startswith("bad configuration: ")


DEPLOY_FILE = Path(__file__).parent.parent / "deploy" / "balancer.toml"
SIGHUP_AT_START = "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\n"


def test_a_sighup_before_the_interpreter_imports_the_router_does_not_end_it(tmp_path):
    """Runs the deploy file's command; `sitecustomize` is imported before any module of the router."""
    (tmp_path / "sitecustomize.py").write_text(SIGHUP_AT_START)
    command = tomllib.loads(DEPLOY_FILE.read_text())["run"].replace(".venv/bin/python", sys.executable)
    path = tmp_path / "config.json"
    path.write_text("{}")
    environment = {**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": str(tmp_path)}
    ended = subprocess.run(
        ["sh", "-c", command], env=environment, cwd=DEPLOY_FILE.parent.parent, capture_output=True, timeout=60
    )
    assert ended.returncode == 2
    assert ended.stderr.startswith(b"bad configuration: ")


# Sends the signal while the interpreter clears its modules, when it has already reset the handlers.
PROGRAM_WITH_SIGNAL_AT_EXIT = """
import os, runpy, signal, sys

class SignalAtEnd:
    def __del__(self, kill=os.kill, process=os.getpid(), number=signal.{}):
        kill(process, number)

sys.signal_at_end = SignalAtEnd()
sys.argv = ["gaugehinge"]
runpy.run_module("gaugehinge", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM", "SIGINT"])
def test_a_signal_while_the_interpreter_exits_does_not_change_the_exit_code(tmp_path, name):
    path = tmp_path / "config.json"
    path.write_text("{}")
    program = PROGRAM_WITH_SIGNAL_AT_EXIT.format(name)
    ended = run("-c", program, env={**os.environ, "LB_CONFIG": str(path)})
    assert ended.returncode == 2


class SignalAsTheReceiverCloses:
    """A shutdown hook that ends in the scheduler step in which its signal wakes the task reading signals."""

    def __init__(self, number: int) -> None:
        self.number = number

    async def before_exit(self) -> None:
        os.kill(os.getpid(), self.number)  # trio delivers it in its next step,
        delivered = trio.Event()
        trio.lowlevel.current_trio_token().run_sync_soon(delivered.set)  # and runs this after it
        await delivered.wait()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT], ids=lambda number: number.name)
def test_a_signal_while_the_receiver_closes_does_not_end_the_router_with_an_error(
    tmp_path, monkeypatch, number
):
    """trio picks at random which of the two woken tasks runs first; ten repeats cover both orders."""
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_GRACE", 0.0)

    async def shut_down_router(path):
        extensions = Extensions(shutdown_hooks=(SignalAsTheReceiverCloses(number),))
        async with fleet(path, build_extensions=lambda service, nursery: extensions) as made:
            os.kill(os.getpid(), signal.SIGTERM)
            with trio.fail_after(20):
                await made.ended.wait()

    for _ in range(10):
        trio.run(shut_down_router, tmp_path)
