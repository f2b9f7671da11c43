"""A port that a test was given is taken by no other process before the server of that test has it."""

import itertools
import re
import socket
import subprocess
from pathlib import Path

import pytest

from gaugehinge.emulator import ports
from gaugehinge.net.gossip import GossipChannel
from gaugehinge.net.sockets import listener
from tests import children, helper

HOST = "127.0.0.1"
TESTS = Path(__file__).parent
PROGRAM = Path(ports.__file__).parents[1]
KINDS = [socket.SOCK_STREAM, socket.SOCK_DGRAM]
FINDERS = [helper.free_port, lambda kind: ports.Ports(3).free([HOST], kind)]
# Another process in the time between the look for a port and the bind of its server: it tries to take that
# port, as a look would and as a server would, and holds it until its input ends.
OTHER_PROCESS = """
import socket, sys
sock = socket.socket(socket.AF_INET, int(sys.argv[2]))
try:
    sock.bind(("127.0.0.1", int(sys.argv[1])))
    print("taken", flush=True)
except OSError as error:
    print(error.strerror, flush=True)
sys.stdin.read()
"""


def serve(port: int, kind: int) -> socket.socket:
    """The socket of the router's own server at this port."""
    return listener((HOST, port), 8) if kind == socket.SOCK_STREAM else GossipChannel((HOST, port), ()).sock


def dialled(port: int, kind: int) -> socket.socket:
    made = socket.socket(socket.AF_INET, kind)
    made.settimeout(10.0)  # seconds
    made.connect((HOST, port))
    return made


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("find", FINDERS, ids=["tests", "emulator"])
def test_a_second_process_cannot_take_a_port_between_the_look_and_the_bind(find, kind):
    port = find(kind)
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    with children.child("-c", OTHER_PROCESS, str(port), str(int(kind)), **pipes) as other:
        said = other.stdout.readline()
        with serve(port, kind):  # raises OSError where the other process has it
            assert said == "Address already in use\n"


@pytest.mark.parametrize("find", FINDERS, ids=["tests", "emulator"])
def test_a_reserved_port_refuses_until_its_server_is_there_and_after_its_end(find):
    for kind in KINDS:
        port = find(kind)
        for _ in range(2):
            with pytest.raises(ConnectionRefusedError), dialled(port, kind) as early:
                early.send(b"x")
                early.recv(1)
            with serve(port, kind) as server, dialled(port, kind) as client:
                client.send(b"y")
                server.settimeout(10.0)  # seconds
                if kind == socket.SOCK_STREAM:
                    accepted, _ = server.accept()
                    with accepted:
                        assert accepted.recv(1) == b"y"
                else:
                    assert server.recv(1) == b"y"


def test_a_port_is_given_out_once_and_the_reservations_of_a_process_are_bounded(monkeypatch):
    port = helper.free_port()
    monkeypatch.setattr(helper, "PORT_COUNT", itertools.count(port - helper.PORTS[0]))
    assert helper.free_port() != port
    monkeypatch.setattr(ports, "MOST_RESERVATIONS", 4)
    monkeypatch.setattr(ports, "_reservations", type(ports._reservations)())
    given = [helper.free_port() for _ in range(6)]
    assert [sock.getsockname()[1] for sock in ports._reservations] == given[2:]
    for sock in ports._reservations:
        sock.close()


def test_nothing_binds_a_port_that_it_only_looked_at():
    """Every bind is at port 0, or sets SO_REUSEADDR beside a reservation, or is in a company's own network,
    which its guard keeps from other processes."""
    found = []
    for file in [*TESTS.rglob("*.py"), *PROGRAM.rglob("*.py")]:
        if file == Path(__file__):
            continue
        lines = file.read_text().splitlines()
        for number, line in enumerate(lines):
            beside = any("SO_REUSEADDR" in near for near in lines[max(0, number - 3) : number + 2])
            if ".bind(" in line and not beside and not re.search(r"\.bind\(\(.*, 0\)\)", line):
                found.append(f"{file.name}: {line.strip()}")
    assert sorted(found) == [
        "cacheparty.py: raw.bind((self.part.host, self.part.port))",
        'ground.py: self.guard.bind((f"127.{self.net}.0.1", GUARD_PORT))',
    ]
