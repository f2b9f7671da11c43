"""The control plane as a process, and the commands that call its API."""

import json
import signal
import subprocess
import time

import children
import httpx
from click.testing import CliRunner

from gaugehinge.cli.main import main
from gaugehinge.emulator.ports import Ports


def test_process_serves_persists_and_stops(tmp_path):
    port = Ports(9).free(["127.0.0.1"])
    file = tmp_path / "keep.toml"
    file.write_text(f'store = "{tmp_path / "s.db"}"\nlisten = "127.0.0.1:{port}"\n')
    words = ("-m", "gaugehinge.cli", "--log", "json", "control-plane", str(file))
    secret = ""
    for turn in range(2):
        with children.child(*words, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as process:
            secret = secret or process.stdout.readline().split()[-1]
            assert "control plane of" in process.stderr.readline()
            headers = {"Authorization": f"Bearer {secret}"}
            transport = httpx.HTTPTransport(retries=20)
            with httpx.Client(
                transport=transport, base_url=f"http://127.0.0.1:{port}", headers=headers
            ) as client:
                if not turn:
                    assert client.post("/v1/tenants", json={"name": "acme"}).status_code == 201
                assert [t["name"] for t in client.get("/v1/tenants").json()["tenants"]] == ["acme"]
            process.send_signal(signal.SIGTERM)
            process.communicate()
            assert process.returncode == 0
    assert list(tmp_path.glob("s.db.snapshot-*"))
    file.write_text('store = "x"\nlisten = "localhost:1"\n')
    told = children.run(*words)
    assert told.returncode == 2
    assert "listen" in told.stderr


def test_keep_still_runs_with_a_warning(tmp_path):
    port = Ports(9).free(["127.0.0.1"])
    file = tmp_path / "keep.toml"
    file.write_text(f'store = "{tmp_path / "s.db"}"\nlisten = "127.0.0.1:{port}"\n')
    words = ("-m", "gaugehinge.cli", "--log", "json", "keep", str(file))
    with children.child(*words, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as process:
        assert process.stdout.readline().startswith("operator root")
        assert process.stderr.readline() == "gaugehinge keep: now called gaugehinge control-plane\n"
        assert "control plane of" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        process.communicate()
        assert process.returncode == 0


def test_tier_still_runs_with_a_warning():
    environment = {"GAUGEHINGE_API": "http://127.0.0.1:9", "GAUGEHINGE_SECRET": "gh_no_such"}
    for words in (("--json", "routers"), ("list",), ("secret", "x", "--role", "router")):
        told = CliRunner().invoke(main, ("tier", *words), env=environment)
        warning, error = told.stderr.splitlines()
        assert warning == "gaugehinge tier: now called gaugehinge routers"
        assert told.exit_code == 1
        assert error.startswith("Error: http://127.0.0.1:9: ")


def test_commands_call_the_api(tmp_path):
    port = Ports(17).free(["127.0.0.1"])
    file = tmp_path / "keep.toml"
    file.write_text(f'store = "{tmp_path / "s.db"}"\nlisten = "127.0.0.1:{port}"\n')
    words = ("-m", "gaugehinge.cli", "--log", "json", "control-plane", str(file))
    with children.child(*words, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as process:
        secret = process.stdout.readline().split()[-1]
        with httpx.Client(transport=httpx.HTTPTransport(retries=20)) as client:
            assert client.get(f"http://127.0.0.1:{port}/healthz").json() == {"revision": 2}
        environment = {"GAUGEHINGE_API": f"http://127.0.0.1:{port}", "GAUGEHINGE_SECRET": secret}

        def call(*given, code=0, **more):
            told = CliRunner().invoke(main, given, env=environment, **more)
            assert told.exit_code == code, told.output
            return told.output

        def tenant(*given, **more):
            return call("tenant", *given, **more)

        assert "acme" in tenant("add", "acme", "--share", "2", "--active")
        assert "active" in tenant("show", "acme")
        assert json.loads(tenant("--json", "resize", "acme", "--allowance", "50"))[0]["allowance"] == 50.0
        assert "suspended" in tenant("suspend", "acme")
        assert "active" in tenant("activate", "acme")
        made = tenant("credential", "acme").strip()
        assert made.startswith("gh_")
        assert "ended" in tenant("revoke", "acme", made.split("_")[1])
        assert "name: conflict: acme is there already" in tenant("add", "acme", code=1)
        assert tenant("add", "Acme", code=2).startswith("name: invalid")
        assert "no tenant nobody" in tenant("show", "nobody", code=2)
        assert "nothing to change" in tenant("resize", "acme", code=2)
        ruled = json.loads(tenant("--json", "resize", "acme", "--traffic", "a=read", "--most-value", "9"))[0]
        assert ruled["traffic"] == {"a": "read"}
        assert ruled["most_value"] == 9
        assert json.loads(tenant("--json", "resize", "acme", "--traffic", "="))[0]["traffic"] == {}
        assert "OWN=TYPE" in tenant("resize", "acme", "--traffic", "a", code=2)
        tenant("remove", "acme", code=1, input="n\n")
        assert "leaves" in tenant("remove", "acme", "--yes")
        assert "acme" not in tenant("list")
        audit = tenant("audit", "--limit", "500")
        assert "tombstone" in audit
        assert "argon2" not in audit
        assert "root" in audit
        assert "removed" in audit
        assert json.loads(tenant("--json", "audit"))[0]["kind"] == "operator"
        assert "drain" in call("server", "drain", "c-7")
        assert "c-7" in call("server", "list")
        assert json.loads(call("server", "--json", "restore", "c-7"))[0]["order"] == "none"
        (tmp_path / "secret").write_text(call("routers", "secret", "tier", "--role", "router"))
        assert "name: conflict" in call("routers", "secret", "tier", "--role", "reader", code=1)
        client_port, none = Ports(17).free(["127.0.0.1"]), Ports(18).free(["127.0.0.1"])
        (tmp_path / "router.toml").write_text(
            f'[listen]\nclients = "127.0.0.1:{client_port}"\n[discovery]\naddress = "127.0.0.1:{none}"\n'
            '[[traffic]]\nname = "r"\neffect = "idempotent"\npromised_time = "1s"\n[door]\non = true\n'
            f'[follow]\nkeeper = "127.0.0.1:{port}"\nsecret_file = "{tmp_path / "secret"}"\n'
            f'snapshot = "{tmp_path / "snapshot"}"\n'
        )
        words = ("-m", "gaugehinge.cli", "--log", "json", "serve", str(tmp_path / "router.toml"))
        with children.child(*words, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as router:
            deadline = time.monotonic() + 30.0
            while not (rows := json.loads(call("routers", "--json", "list"))) or rows[0]["behind"]:
                assert time.monotonic() < deadline
                assert router.poll() is None
                time.sleep(0.05)
            assert rows[0]["name"] == "router"
            assert "router" in call("routers", "list")
            router.send_signal(signal.SIGTERM)
            assert router.wait(30) == 0
        assert (tmp_path / "snapshot").exists()
        environment["GAUGEHINGE_SECRET"] = "gh_no_such"
        assert "unauthorized" in tenant("list", code=1)
        environment["GAUGEHINGE_API"] = "http://127.0.0.1:9"
        assert "127.0.0.1:9" in tenant("list", code=1)
