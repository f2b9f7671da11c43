"""The command line: exit codes, one line for bad input, what the platform's router must not import."""

import json
import signal
import subprocess
from pathlib import Path

import children
import pytest
from click.testing import CliRunner

from gaugehinge.cli.main import COMMANDS, FORMER_NAMES, main
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
    told = children.run("-c", code, cwd=ROOT, env={"PATH": ""})
    assert told.returncode == 0, told.stderr
    modules = told.stdout.splitlines()[-1]
    assert "gaugehinge.net.service" in modules
    for name in NOT_THERE:
        assert f"'{name}'" not in modules, name


@pytest.mark.parametrize("name", [*COMMANDS, *FORMER_NAMES])
def test_every_command_has_help_with_an_example(name):
    told = run(name, "--help")
    assert told.exit_code == 0 and "Example: gaugehinge" in told.output


def test_former_names_are_not_in_the_help():
    listed = run("--help").output.partition("Commands:\n")[2].partition("\n\n")[0]
    shown = [line.split()[0] for line in listed.splitlines()]
    assert shown == list(COMMANDS) and not set(FORMER_NAMES) & set(COMMANDS)


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


def router_file(folder: Path) -> tuple[Path, int]:
    port = Ports(5).free(["127.0.0.1"])
    file = folder / "router.toml"
    text = (ROOT / "example" / "installation.toml").read_text().replace("6379", str(port))
    file.write_text(text.replace("127.0.0.1:7300", "127.0.0.1:9"))
    return file, port


def message(process: subprocess.Popen, part: str) -> str:
    """The next line of its log with this in it; an end of the log fails the test."""
    while part not in (told := process.stderr.readline()):
        assert told, f"its log ended without {part!r}"
    return json.loads(told)["record"]["message"]


def test_serve_takes_its_address_reads_again_and_ends_with_0(tmp_path):
    file, port = router_file(tmp_path)
    words = ("-m", "gaugehinge.cli", "--log", "json", "serve", str(file))
    with children.child(*words, stderr=subprocess.PIPE) as process:
        assert message(process, "router n0") == f"router n0 at 127.0.0.1:{port}"
        file.write_text("[listen]")
        process.send_signal(signal.SIGHUP)
        assert f"{file}: " in message(process, "configuration not reloaded")
        process.terminate()
        process.communicate()
        assert process.returncode == 0


# What each start does between its first line and its receiver of signals, one after the other.
STEPS = {
    "the file is read": "gaugehinge.installation.build.read_installation",
    "the service is made": "gaugehinge.net.service.Service.__init__",
    "it listens": "gaugehinge.net.service.listener",
}
STARTED_SO = """
import importlib, os, signal, sys
place, step = sys.argv[1].rsplit(".", 1)
names = place.split(".")
owner = importlib.import_module(".".join(names[:3]))
for name in names[3:]:
    owner = getattr(owner, name)
kept, sent = getattr(owner, step), []
def with_signal(*words, **named):
    told = kept(*words, **named)
    if not sent:
        sent.append(os.kill(os.getpid(), int(sys.argv[2])))
    return told
setattr(owner, step, with_signal)
from gaugehinge.cli.main import main
main(["--log", "json", "serve", sys.argv[3]])
"""


@pytest.mark.parametrize("step", STEPS)
def test_a_hangup_while_it_starts_is_not_lost(step, tmp_path):
    # Ignored until the receiver stood, it left the router on the configuration before it.
    file, _ = router_file(tmp_path)
    words = ("-c", STARTED_SO, STEPS[step], str(int(signal.SIGHUP)), str(file))
    with children.child(*words, stderr=subprocess.PIPE) as process:
        assert "discovery at 127.0.0.1:9" in message(process, "configuration reloaded")
        process.terminate()
        process.communicate()
        assert process.returncode == 0


@pytest.mark.parametrize("step", STEPS)
def test_a_stop_while_it_starts_ends_it(step, tmp_path):
    file, _ = router_file(tmp_path)
    words = ("-c", STARTED_SO, STEPS[step], str(int(signal.SIGTERM)), str(file))
    # Once it listens clients may have come: it ends in order.
    assert children.run(*words).returncode == (0 if step == "it listens" else -signal.SIGTERM)


def test_a_second_stop_while_it_leaves_changes_nothing(tmp_path):
    file, _ = router_file(tmp_path)
    words = ("-m", "gaugehinge.cli", "--log", "json", "serve", str(file))
    with children.child(*words, stderr=subprocess.PIPE) as process:
        message(process, "router n0")
        process.send_signal(signal.SIGHUP)  # answered with a line once signals have their receiver
        message(process, "configuration reloaded")
        process.terminate()
        message(process, "leaving")
        process.terminate()
        process.communicate()
        assert process.returncode == 0


def test_a_child_of_a_test_does_not_outlive_its_time():
    with children.child("-c", "import time; time.sleep(600)", life=0.1, stdout=subprocess.PIPE) as process:
        assert process.stdout.readline() == ""  # by the end of its life alone
    assert process.returncode == -signal.SIGKILL
