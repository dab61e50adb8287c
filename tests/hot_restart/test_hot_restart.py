"""One process replaces another: keys of both, clients, the list, and either of them ending in the middle."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import msgpack
import pytest
from support.exchange import START, Player, address, loopback
from test_program import PATIENCE_S, ROOT, configuration, environment, site

from snowthread.core import events
from snowthread.core.reducer import ASK_MS, ASKING_MOST
from snowthread.core.state import HandoverRole
from snowthread.hot_restart import channel, messages

ALIVE: list[tuple[int, int]] = []  # of each process here, a pipe whose writing end is open while it lives


@pytest.fixture(autouse=True)
def processes(monkeypatch: pytest.MonkeyPatch) -> None:
    """One process plays all here: who comes is the one that was made last, and ends when its pipe closes."""
    monkeypatch.setattr(channel, "process_of", lambda sock: (len(ALIVE), os.dup(ALIVE[-1][0])))


FAREWELL = msgpack.packb([2, "farewell", []])


class Pair:
    """Two processes' nodes at one door, the older first; each with a runtime and a roster of its own."""

    def __init__(self, folder: Path) -> None:
        self.door, self.folder = loopback(socket.SOCK_STREAM), str(folder)
        self.all: list[Player] = []
        self.old = self.more()
        self.settle()

    def more(self) -> Player:
        ALIVE.append(os.pipe())
        player = Player(door=os.dup(self.door.fileno()), folder=self.folder)
        self.all.append(player)
        self.life = getattr(self, "life", {}) | {id(player): ALIVE[-1][1]}
        return player

    def start_new(self) -> None:
        self.new = self.more()
        self.settle()
        if "new" in self.__dict__:  # it may have been ended meanwhile
            self.link(self.new)

    def settle(self, rounds: int = 2) -> None:
        for _ in range(rounds):
            for player in self.players:
                player.settle()

    @property
    def players(self) -> list[Player]:
        return [p for p in (self.__dict__.get("old"), self.__dict__.get("new")) if p is not None]

    def clock(self, ms: float) -> None:
        for player in self.players:
            player.clock.now_ms += ms
        self.settle()

    def link(self, player: Player) -> None:
        """Its runtime is there."""
        player.step("runtime", "accept", "")
        self.say(player, {"action": "ready", "code": "seasoned", "wall_ms": 0})

    def say(self, player: Player, *notices: dict[str, Any]) -> None:
        for notice in notices:
            player.peers["runtime"].sendall(json.dumps(notice).encode() + b"\n")
        self.settle()

    def done(self, player: Player, pos: int, uid: str, content: str = "cg==") -> None:
        self.say(
            player,
            {"action": "end", "pos": pos, "uid": uid, "code": "done", "wall_ms": 9, "content": content},
        )

    def starts(self, player: Player) -> list[str]:
        """Which runs it has asked its runtime for, since last looked."""
        if "runtime" not in player.peers:
            return []
        try:
            lines = player.peers["runtime"].recv(65536).splitlines()
        except BlockingIOError:
            return []
        return [fields["uid"] for fields in map(json.loads, lines) if fields["action"] == "start"]

    def connect(self, player: Player) -> socket.socket:
        """A balancer's connection that this process, and not the other, takes."""
        before = player.node.balancers.count()
        sock = socket.create_connection(self.door.getsockname())
        for _ in range(5):
            player.settle()
        assert player.node.balancers.count() == before + 1
        sock.setblocking(False)
        return sock

    def ask(
        self,
        sock: socket.socket,
        number: int,
        uid: str,
        once: str = "k1",
        body: bytes = b"p",
        kb: str = "20",
        settle: bool = True,
    ) -> None:
        fields = {
            "id": uid,
            "at": f"{self.old.clock.now_ms:.0f}",
            "from": "4",
            "wait": "5000",
            "kb": kb,
            "rank": "0.5",
            "once": once,
        }
        sock.sendall(msgpack.packb([0, number, "dispense", [fields, body]]))
        if settle:
            self.settle()

    def end(self, player: Player) -> None:
        """As a kill does it: nothing more is said."""
        assert player.node.hot_restart is not None
        player.node._gone = player.node.hot_restart._gone = True
        for listening in (player.node.hot_restart._listener, player.node.balancers._listener):
            if listening is not None:
                player.node.loop.close(listening)
        player.node.loop._close_tasks()
        os.close(self.life.pop(id(player)))
        if player is self.old:
            del self.old
        else:
            del self.new
        self.settle()
        self.clock(channel.RETRY_MS)

    def kill(self, who: str) -> None:
        """End a process in the middle of its step: what it was about to do is not done."""
        player = self.__dict__.pop(who)
        assert player.node.beside is not None and player.node.beside._sock is not None
        player.node._gone = player.node.beside._gone = True
        player.node.beside._sock.shutdown(socket.SHUT_RDWR)
        for listening in (player.node.beside._listener, player.node.balancers._listener):
            if listening is not None:
                player.node.loop.close(listening)
        os.close(self.life.pop(id(player)))

    def close(self) -> None:
        for player in self.players:
            player.node._gone = True
            if player.node.hot_restart is not None:
                player.node.hot_restart.close()
            player.node.loop._close_tasks()
            for sock in (*player.peers.values(), *player.listeners.values()):
                sock.close()
        self.door.close()


def answers(sock: socket.socket) -> list[Any]:
    """What came: number, error, result; farewells left out."""
    unpacker = msgpack.Unpacker()
    try:
        unpacker.feed(sock.recv(65536))
    except BlockingIOError:
        pass
    return [[m[1], m[2] and m[2][0], m[3] and m[3][0]] for m in unpacker if m[0] == 1]


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[Pair]:
    made = Pair(tmp_path)
    made.link(made.old)
    try:
        yield made
    finally:
        made.close()


A, B, C = "00000000000000a1", "00000000000000b1", "00000000000000c1"


def test_what_ran_before_is_known_to_the_newer_one_with_its_result(pair: Pair) -> None:
    first = pair.connect(pair.old)
    pair.ask(first, 1, A)
    assert pair.starts(pair.old) == [A]
    pair.done(pair.old, 1, A)
    assert answers(first) == [[1, None, b"r"]]
    pair.start_new()
    second = pair.connect(pair.new)
    pair.ask(second, 1, B)
    assert answers(second) == [[1, None, b"r"]]
    pair.ask(second, 2, C, body=b"another thing")  # not a repeat of it
    assert answers(second) == [[2, "Failed", None]]
    assert pair.starts(pair.new) == []


def test_a_repeat_waits_for_the_run_in_the_other_process_either_way(pair: Pair) -> None:
    first = pair.connect(pair.old)
    pair.ask(first, 1, A)
    pair.start_new()
    second = pair.connect(pair.new)
    pair.ask(second, 1, B)
    assert answers(second) == []
    pair.done(pair.old, 1, A)
    assert answers(second) == [[1, None, b"r"]] and pair.starts(pair.new) == []
    pair.ask(second, 2, B, once="k2")
    assert pair.starts(pair.new) == [B]
    pair.ask(first, 2, C, once="k2")  # it was on the way when the farewell went out
    pair.done(pair.new, 1, B, "cjI=")
    assert answers(first)[-1] == [2, None, b"r2"] and pair.starts(pair.old) == [A]


def test_words_for_one_that_stands_still_are_bounded(pair: Pair, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channel, "WORDS_MOST", 50)
    pair.start_new()
    beside = pair.old.node.hot_restart
    assert beside is not None
    for n in range(20_000):  # more than the sockets between them hold
        pair.old.node.post(events.KeyClaimRequested(f"s{n}", f"{n:016x}", START, b"x" * 200))
        assert len(beside._words) <= 50
    for _ in range(3):
        pair.clock(channel.RETRY_MS)
    pair.settle(40)
    assert (
        pair.new.node._ready()[0] == 200 and pair.new.node.state.handover_role is HandoverRole.SUCCESSOR
    )  # it came anew


@pytest.mark.parametrize("older_first", [True, False])
def test_words_that_cross_on_the_way_let_one_run(pair: Pair, older_first: bool) -> None:
    """Each reads its try before it has read what the other said."""
    pair.start_new()
    order = [(pair.old, A), (pair.new, B)]
    for player, uid in order if older_first else reversed(order):
        player.node.post(
            events.RequestReceived((99, 1), uid, "dispense", b"p", START, 5000.0, 4, 20.0, 0.5, "k1")
        )
    pair.settle()
    assert (pair.starts(pair.old), pair.starts(pair.new)) == ([A], [])


def test_ready_waits_until_the_older_one_has_let_go(pair: Pair) -> None:
    """A notice to leave that came before that would take the node off the list."""
    first = pair.connect(pair.old)
    pair.new = pair.more()
    while not pair.new.node.balancers.accepting:
        pair.new.node.loop.run_once(0.0)
        if (
            pair.new.node.state.handover_role is HandoverRole.SUCCESSOR
            and not pair.new.node.balancers.accepting
        ):
            pair.old.settle()
    assert pair.old.node.balancers.accepting and pair.new.node._ready()[0] == 503
    pair.settle()
    assert pair.new.node._ready()[0] == 200 and pair.old.node._ready()[0] == 503
    assert first.recv(100) == FAREWELL


def test_a_killed_older_one_leaves_its_runs_unknown_and_none_is_run_again(pair: Pair) -> None:
    first = pair.connect(pair.old)
    pair.ask(first, 1, A)
    pair.start_new()
    second = pair.connect(pair.new)
    pair.ask(second, 1, B)
    pair.end(pair.old)
    pair.settle()
    assert answers(second) == [[1, "Failed", None]]
    fields = {"id": C, "at": f"{START:.0f}", "from": "4", "wait": "5000", "kb": "20", "rank": "0.5"}
    for number, once, wanted in ((2, "k1", [[2, "Failed", None]]), (3, "k9", [])):
        second.sendall(msgpack.packb([0, number, "dispense", [fields | {"once": once}, b"p"]]))
        pair.settle()
        assert answers(second) == wanted
    assert pair.starts(pair.new) == [C] and pair.new.node.state.handover_role is HandoverRole.STANDALONE


def test_a_newer_one_that_dies_gives_the_clients_back(pair: Pair) -> None:
    pair.start_new()
    second = pair.connect(pair.new)
    pair.ask(second, 1, A)
    assert pair.starts(pair.new) == [A]
    assert not pair.old.node.balancers.accepting
    pair.end(pair.new)
    pair.settle()
    third = pair.connect(pair.old)
    pair.ask(third, 1, B)
    assert answers(third) == [[1, "Failed", None]]  # nobody can tell what became of its run
    pair.ask(third, 2, C, once="k2")
    assert pair.starts(pair.old) == [C]
    pair.start_new()  # and the next one is let in
    assert pair.new.node.state.handover_role is HandoverRole.SUCCESSOR and pair.new.node.balancers.accepting


def test_what_the_newer_one_turns_away_leaves_its_key_free(pair: Pair) -> None:
    first = pair.connect(pair.old)
    pair.start_new()
    second = pair.connect(pair.new)
    pair.new.node.post(events.PeerLoadReported(0, 15_900.0, 0))
    pair.ask(second, 1, A, kb="100")  # no memory is left for it: turned away as read
    assert [error for _, error, _ in answers(second)] == ["Throttled"]
    pair.ask(first, 1, B)
    assert pair.starts(pair.old) == [B]


def test_no_word_on_a_key_in_time_turns_the_request_away_and_a_late_one_is_given_back(pair: Pair) -> None:
    pair.start_new()
    second = pair.connect(pair.new)
    old, pair.old = pair.old, pair.new  # the older one stands still
    del pair.new
    pair.ask(second, 1, A)
    assert answers(second) == []
    pair.clock(ASK_MS)
    assert answers(second) == [[1, "Throttled", None]] and pair.starts(pair.old) == []
    pair.new, pair.old = pair.old, old
    pair.settle()
    assert old.node.state.idempotency_table.find_by_attempt(A) is None
    pair.ask(second, 2, B)
    assert pair.starts(pair.new) == [B]


def test_who_leaves_while_the_key_is_judged_is_not_run(pair: Pair) -> None:
    pair.start_new()
    second = pair.connect(pair.new)
    old, pair.old = pair.old, pair.new
    del pair.new
    pair.ask(second, 1, A)
    second.sendall(msgpack.packb([2, "cancel", [1]]))
    for n in range(ASKING_MOST + 1):
        third = second if n % 32 else pair.connect(pair.old)
        second = third
        pair.ask(third, 2 + n, f"{n:016x}", once=f"y{n}", settle=n % 32 == 31 or n == ASKING_MOST)
    assert [error for _, error, _ in answers(third)] == ["Throttled"]  # so many wait, and no more
    pair.new, pair.old = pair.old, old
    pair.settle()
    assert A not in pair.starts(pair.new) and old.node.state.idempotency_table.find_by_attempt(A) is None


def test_the_list_hears_no_off_and_the_drain_is_taken_over(pair: Pair) -> None:
    first = pair.connect(pair.old)
    pair.ask(first, 1, A)
    assert pair.old.node.admin is not None
    pair.old.node._drain(True)
    pair.start_new()
    assert pair.new.node.state.drained
    pair.new.node._drain(False)
    pair.settle()
    assert not pair.old.node.state.drained
    while True:
        try:
            pair.old.peers["roster"].recv(100)
        except BlockingIOError:
            break
    pair.old.node.post(events.ShutdownRequested(3700.0))
    pair.clock(2500.0)  # beyond the grace of a drain
    assert pair.old.peers["roster"].recv(100) == b"HERE n1 on"
    first.sendall(msgpack.packb([0, 2, "health", [{}]]))
    pair.settle()
    pair.done(pair.old, 1, A)
    assert answers(first) == [[2, None, True], [1, None, b"r"]]
    second = pair.connect(pair.new)
    pair.ask(second, 1, B)
    assert answers(second) == [[1, None, b"r"]]


def flood(pair: Pair, sock: socket.socket, half: str, count: int, kb: str) -> None:
    for n in range(count):
        fields = {
            "id": f"{half * 8}{n:08x}",
            "at": f"{pair.old.clock.now_ms:.0f}",
            "from": "4",
            "wait": "9000",
            "kb": kb,
            "rank": "0.5",
        }
        sock.sendall(msgpack.packb([0, n + 1, "match", [fields, b"p"]]))
    pair.settle()


def test_what_both_hold_stays_within_the_runtimes_memory(pair: Pair) -> None:
    """Settings of the example: 15,906 KB, 2 cores, four times the figure for a run."""
    first = pair.connect(pair.old)
    flood(pair, first, "a", 2, "1800")
    assert len(pair.starts(pair.old)) == 2  # 14,400 KB: nearly all that may be used
    pair.start_new()
    second = pair.connect(pair.new)
    flood(pair, second, "b", 2, "600")
    assert pair.starts(pair.new) == []  # alone it would run them
    for n in range(2):
        pair.done(pair.old, n + 1, f"{'a' * 8}{n:08x}")
    pair.clock(300.0)  # the next word on load
    flood(pair, second, "c", 2, "600")
    assert len(pair.starts(pair.new)) == 2


def test_what_both_run_stays_under_the_crowd_that_the_runtime_survives(pair: Pair) -> None:
    pair.start_new()
    controller = pair.new.node.state.controller
    assert controller is not None
    before = controller._ceiling(controller._now)
    pair.new.node.post(events.PeerLoadReported(5, 0.0, 0))
    assert controller._ceiling(controller._now) == pytest.approx(before - 0.8 * 5)
    pair.end(pair.old)
    pair.settle()
    assert controller._ceiling(controller._now) == before and controller.settings.memory_kb == 15906.0


def test_descriptors_are_counted_for_both(pair: Pair) -> None:
    crowd = [pair.connect(pair.old) for _ in range(40)]
    places = pair.old.node.balancers._most
    pair.start_new()
    assert pair.new.node.balancers._most == places - 40
    for sock in crowd:
        sock.close()
    pair.clock(300.0)
    assert pair.new.node.balancers._most == places


def once_of(uid: str) -> str:
    """Which key a try of the scenario has."""
    return "k1" if uid.endswith("d1") else f"k{int(uid[-4:]) + 1}"


class KilledError(Exception):
    """A process ends in the middle of a step."""


def scenario(pair: Pair) -> None:
    """A hand-over with keyed requests before, during and after it, whose tries reach both processes."""

    def ask(sock: socket.socket | None, number: int, uid: str, once: str) -> None:
        if sock is not None:
            fields = {
                "id": uid,
                "at": f"{START:.0f}",
                "from": "4",
                "wait": "5000",
                "kb": "20",
                "rank": "0.5",
                "once": once,
            }
            sock.sendall(msgpack.packb([0, number, "dispense", [fields, b"p"]]))
            pair.settle()

    first = pair.connect(pair.old)
    ask(first, 1, "00000000000000d1", "k1")
    pair.start_new()
    new = pair.__dict__.get("new")
    second = pair.connect(new) if new is not None and new.node.balancers.accepting else None
    for n, once in enumerate(("k1", "k2", "k3", "k4")):
        ask(second, 1 + n, f"00000000000e{n:04}", once)
        ask(first if "old" in pair.__dict__ else None, 2 + n, f"00000000000f{n:04}", once)


@pytest.mark.parametrize("side", ["old", "new"])
@pytest.mark.parametrize("fate", ["dropped", "killed", "cut"])
@pytest.mark.parametrize("step", range(8))
def test_whatever_word_is_lost_and_whoever_dies_no_key_runs_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, side: str, fate: str, step: int
) -> None:
    """Each word of either side in turn: lost, the last before a kill, or the last before the link breaks."""
    said = {"old": 0, "new": 0}
    pair = Pair(tmp_path)
    pair.link(pair.old)
    older, real = pair.old.node.hot_restart, channel.HotRestartChannel._say

    def say(beside: channel.HotRestartChannel, word: Any) -> None:
        who = "old" if beside is older else "new"
        if beside._sock is None:
            return
        said[who] += 1
        if who != side or said[who] != step + 1:
            real(beside, word)
        elif fate == "cut":
            beside._sock.shutdown(socket.SHUT_RDWR)
        elif fate == "killed":
            pair.kill(who)
            raise KilledError

    monkeypatch.setattr(channel.HotRestartChannel, "_say", say)
    try:
        scenario(pair)
        runs = [once_of(uid) for player in pair.all for uid in pair.starts(player)]
        assert "k1" in runs
        assert len(runs) == len(set(runs)), runs
        pair.clock(channel.RETRY_MS)
        pair.clock(5050.0)  # past every due time: nothing is left open
        for player in pair.players:
            assert not player.node.state.by_response_address
            assert not any(waiting for _, waiting in player.node.state.pending_claims.values())
    finally:
        pair.close()


def test_a_stale_socket_file_is_no_process(tmp_path: Path) -> None:
    with socket.socket(socket.AF_UNIX) as made:
        made.bind(str(tmp_path / channel.SOCKET))
    pair = Pair(tmp_path)
    try:
        assert not pair.old.node.balancers.accepting  # somebody may just be making it anew
        pair.clock(channel.JOIN_MS + channel.RETRY_MS)
        pair.clock(channel.RETRY_MS)
        assert pair.old.node.balancers.accepting and pair.old.node._ready()[0] == 200
        pair.link(pair.old)
        pair.start_new()
        assert pair.new.node.state.handover_role is HandoverRole.SUCCESSOR
    finally:
        pair.close()


def test_an_older_one_that_stands_still_lets_no_keyed_work_start_beside_it(pair: Pair) -> None:
    pair.new = pair.more()
    for _ in range(10):
        pair.new.settle()
    assert pair.new.node._ready()[0] == 503 and not pair.new.node.balancers.accepting
    assert pair.old.node.balancers.accepting  # it serves on as if nothing had been


def test_sighup_leaves_a_drain_as_it_is_and_sigterm_ends_it(pair: Pair) -> None:
    node = pair.old.node
    node._drain(True)
    node.apply_configuration(node.config)
    assert node.state.drained and not node.state.accepts_work
    node.post(events.ShutdownRequested(3200.0))
    assert node._drain(False)[0] == 409 and node._drain(True)[0] == 200 and not node.state.accepts_work


@pytest.mark.parametrize(
    "message",
    [None, [], ["no"], ["freed", 7], ["key", "k", "u", 1.0, b"", True], ["hello", 99], ["over", "u", "text"]],
)
def test_nonsense_from_beside_is_told_apart(message: object) -> None:
    with pytest.raises(ValueError):
        messages.decode(message)


def call(port: int, method: str, path: str) -> int:
    connection = HTTPConnection("127.0.0.1", port, timeout=5.0)
    try:
        connection.request(method, path)
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


class Balancer(threading.Thread):
    """Asks one thing after another, with a new connection where it was told to go."""

    def __init__(self, door: socket.socket) -> None:
        super().__init__(daemon=True)
        self.door, self.over = door.getsockname(), threading.Event()
        self.served = self.other = 0

    def run(self) -> None:
        while not self.over.is_set():
            with socket.create_connection(self.door) as sock:
                sock.settimeout(PATIENCE_S)
                unpacker, number, told = msgpack.Unpacker(), 0, False
                while not told and not self.over.is_set():
                    number += 1
                    uid = os.urandom(8).hex()
                    fields = {
                        "id": uid,
                        "at": f"{time.time() * 1000:.0f}",
                        "from": "4",
                        "wait": "9000",
                        "kb": "20",
                        "rank": "0.5",
                        "once": uid,
                    }
                    sock.sendall(msgpack.packb([0, number, "dispense", [fields, uid.encode()]]))
                    answer = None
                    while answer is None:
                        data = sock.recv(4096)
                        if not data:
                            self.other += 1
                            return
                        unpacker.feed(data)
                        for message in unpacker:
                            told = told or message[0] == 2
                            answer = message if message[0] == 1 else answer
                    good = answer[1:] == [number, None, [b"dispensed known", answer[3] and answer[3][1]]]
                    self.served += good
                    self.other += not good


def test_a_program_is_replaced_under_load_and_nobody_notices(tmp_path: Path) -> None:
    folders = [tmp_path / name for name in ("a", "b", "shared")]
    for folder in folders:
        folder.mkdir()
    with ExitStack() as stack:
        door = stack.enter_context(loopback(socket.SOCK_STREAM))
        door.listen(128)
        paths = [configuration(folder, listen=address(door), stop_ms=5000) for folder in folders[:2]]
        with loopback(socket.SOCK_STREAM) as one, loopback(socket.SOCK_STREAM) as two:
            admins = [sock.getsockname()[1] for sock in (one, two)]

        def start(n: int) -> subprocess.Popen[str]:
            stack.enter_context(site(paths[n]))
            more = {
                "NODE_FD": str(door.fileno()),
                "TMPDIR": str(folders[2]),
                "NODE_ADMIN_ADDR": f"127.0.0.1:{admins[n]}",
            }
            process = subprocess.Popen(
                [sys.executable, "-m", "snowthread"],
                cwd=ROOT,
                text=True,
                env=environment(paths[n]) | more,
                stderr=subprocess.PIPE,
                pass_fds=(door.fileno(),),
            )
            stack.callback(process.communicate)
            stack.callback(process.kill)
            end = time.monotonic() + PATIENCE_S
            while call(admins[n], "GET", "/-/ready") != 200:
                assert time.monotonic() < end, "never ready"
                time.sleep(0.02)
            return process

        old = start(0)
        with socket.create_connection(door.getsockname()) as sock:
            first = ask_on(sock, "k1")
        balancers = [Balancer(door) for _ in range(6)]
        for balancer in balancers:
            balancer.start()
        new = start(1)
        assert call(admins[0], "GET", "/-/ready") == 503
        old.send_signal(signal.SIGTERM)
        _, log = old.communicate(timeout=PATIENCE_S)
        assert old.returncode == 0 and "roster: off" not in log and "Traceback" not in log
        with socket.create_connection(door.getsockname()) as sock:
            assert ask_on(sock, "k1") == first  # with the result that the other process had
        before = sum(b.served for b in balancers)
        end = time.monotonic() + PATIENCE_S
        while sum(b.served for b in balancers) < before + 12:
            assert time.monotonic() < end
            time.sleep(0.02)
        for balancer in balancers:
            balancer.over.set()
        for balancer in balancers:
            balancer.join(PATIENCE_S)
        assert sum(b.other for b in balancers) == 0 and new.poll() is None


def ask_on(sock: socket.socket, once: str) -> Any:
    fields = {
        "id": os.urandom(8).hex(),
        "at": f"{time.time() * 1000:.0f}",
        "from": "4",
        "wait": "9000",
        "kb": "20",
        "rank": "0.5",
        "once": once,
    }
    sock.sendall(msgpack.packb([0, 1, "dispense", [fields, b"grey"]]))
    sock.settimeout(PATIENCE_S)
    answer = msgpack.unpackb(sock.recv(4096))
    assert answer[2] is None
    return answer[3][0]
