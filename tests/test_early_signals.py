"""Signals that reach a router while it starts, and in its last milliseconds."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.children import run

# Sends the signal as the router imports a package, whichever comes first.
PROGRAM = """
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
    """It goes on to read its configuration, and says what is wrong with that."""
    path = tmp_path / "config.json"
    path.write_text(configuration)
    ended = run("-c", PROGRAM, env={**os.environ, "LB_CONFIG": str(path)})
    assert ended.returncode == 2
    assert ended.stderr.startswith("bad configuration: ")


DEPLOY_FILE = Path(__file__).parent.parent / "deploy" / "balancer.toml"
HANGUP_AT_START = "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\n"


def test_a_sighup_before_the_interpreter_comes_to_the_router_does_not_end_it(tmp_path):
    """As the deploy file starts it; the interpreter imports `sitecustomize` before anything of the router."""
    (tmp_path / "sitecustomize.py").write_text(HANGUP_AT_START)
    command = tomllib.loads(DEPLOY_FILE.read_text())["run"].replace(".venv/bin/python", sys.executable)
    path = tmp_path / "config.json"
    path.write_text("{}")
    environment = {**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": str(tmp_path)}
    ended = subprocess.run(
        ["sh", "-c", command], env=environment, cwd=DEPLOY_FILE.parent.parent, capture_output=True, timeout=60
    )
    assert ended.returncode == 2
    assert ended.stderr.startswith(b"bad configuration: ")


# Sends the signal as the interpreter clears its modules: the handlers are reset by then.
PROGRAM_THAT_IS_SIGNALLED_AT_ITS_END = """
import os, runpy, signal, sys

class SignalAtEnd:
    def __del__(self, kill=os.kill, process=os.getpid(), number=signal.{}):
        kill(process, number)

sys.signal_at_end = SignalAtEnd()
sys.argv = ["gaugehinge"]
runpy.run_module("gaugehinge", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM", "SIGINT"])
def test_a_signal_in_the_last_milliseconds_does_not_change_the_exit_code(tmp_path, name):
    path = tmp_path / "config.json"
    path.write_text("{}")
    program = PROGRAM_THAT_IS_SIGNALLED_AT_ITS_END.format(name)
    ended = run("-c", program, env={**os.environ, "LB_CONFIG": str(path)})
    assert ended.returncode == 2
