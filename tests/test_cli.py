"""The command line: exit codes, one line for bad input, what the platform's router must not import."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from gaugehinge.cli.main import COMMANDS, main
from gaugehinge.emulator.ports import Ports

ROOT = Path(__file__).parent.parent
NOT_THERE = (
    "click",
    "rich",
    "msgspec",
    "tomli_w",
    "numpy",
    "matplotlib",
    "jinja2",
    "hdrh",
    "gaugehinge.forms",
    "gaugehinge.installation",
    "gaugehinge.cli",
    "gaugehinge.emulator",
    "gaugehinge.load",
)


def run(*words: str):
    return CliRunner().invoke(main, list(words))


def test_the_platforms_router_imports_nothing_of_this():
    code = "import runpy, sys\ntry:\n runpy.run_module('gaugehinge', run_name='__main__')\n"
    code += "except SystemExit: pass\n"
    code += "print(sorted(sys.modules))"
    told = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True, env={"PATH": ""}
    )
    modules = told.stdout.splitlines()[-1]
    assert "gaugehinge.net.service" in modules
    for name in NOT_THERE:
        assert f"'{name}'" not in modules, name


@pytest.mark.parametrize("name", COMMANDS)
def test_every_command_has_help_with_an_example(name):
    told = run(name, "--help")
    assert told.exit_code == 0 and "Example: gaugehinge" in told.output


def test_version_and_unknown_words():
    assert run("--version").output.startswith("gaugehinge, version ")
    assert run("no-such").exit_code == 2
    assert run("--log", "xml", "check", "f").exit_code == 2


def test_check_says_what_is_there_or_where_it_is_wrong(tmp_path):
    good = run("check", str(ROOT / "example" / "installation.toml"))
    assert good.exit_code == 0 and "3 traffic types" in good.output
    bad = tmp_path / "bad.toml"
    bad.write_text((ROOT / "example" / "installation.toml").read_text().replace("192MiB", "lots"))
    for words in (("check", str(bad)), ("serve", str(bad))):
        told = run(*words)
        assert told.exit_code == 2
        assert told.output.startswith(f"{bad}: limits.memory: ") and told.output.count("\n") == 1
    assert run("check", str(tmp_path / "none.toml")).exit_code == 2
    assert run("rehearse", str(bad)).exit_code == 2


def test_schemas_are_json():
    for kind in ("installation", "script"):
        assert json.loads(run("schema", "--of", kind).output)["$defs"]


def test_reports_and_loads_of_what_is_not_there(tmp_path):
    for words in (
        ("report", str(tmp_path)),
        ("load", str(ROOT / "rehearsals" / "chaos.toml"), "--to", "10.0.0.1:1"),
        ("load", str(ROOT / "rehearsals" / "chaos.toml"), "--replay", str(tmp_path)),
        ("load", str(ROOT / "rehearsals" / "chaos.toml"), "--speed", "2"),
        ("report", "a", "b", "c"),
    ):
        told = run(*words)
        assert told.exit_code == 2, words


def test_serve_takes_its_address_reads_again_and_ends_with_0(tmp_path):
    port = Ports(5).free(["127.0.0.1"])
    file = tmp_path / "router.toml"
    text = (ROOT / "example" / "installation.toml").read_text().replace("6379", str(port))
    file.write_text(text.replace("127.0.0.1:7300", "127.0.0.1:9"))
    process = subprocess.Popen(
        [sys.executable, "-m", "gaugehinge.cli", "--log", "json", "serve", str(file)],
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        first = json.loads(process.stderr.readline())["record"]["message"]
        assert first == f"router n0 at 127.0.0.1:{port}"
        file.write_text("[listen]")
        process.send_signal(1)
        while "configuration not taken" not in (told := process.stderr.readline()):
            assert told
        assert f"{file}: " in json.loads(told)["record"]["message"]
        process.terminate()
        process.communicate(timeout=30)
        assert process.returncode == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
