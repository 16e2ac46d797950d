"""Keyed requests at a node: what becomes of the key, and what a repeat of it is told."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.endpoints import IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.dataplane.keyed_requests import KeyedRequests
from orchidferry.mesh.dataplane.messages import (
    stored_answer,
)
from orchidferry.node.frontend import Reply
from tests.mesh.fakes import header, patch_clock, proxied_request, rig, route, server_response, service_client


class News:
    """Claims are answered by the test; notes what is said of keys."""

    def __init__(self) -> None:
        self.claims = self
        self.told: list[Callable[[str, Any], None]] = []
        self.words: list[tuple[Any, ...]] = []

    def claim(self, key: str, holder: str, for_s: float, told: Callable[[str, Any], None]) -> None:
        self.told.append(told)

    def record_answer(self, key: str, holder: str, answer: Any) -> None:
        self.words.append(("record_answer", key, holder, answer))

    def release(self, key: str, holder: str) -> None:
        self.words.append(("release", key, holder))


class Scene:
    """A node with one service, as far as keys go."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.loop, self.lines = rig()
        patch_clock(patch, self.loop.now_ms)
        self.route = route("keyed", 2)
        self.service = service_client(self.loop, self.lines)
        server = Server("1", "s", "z", IN_SERVICE, 4, 0.0)
        self.service.update_servers({"1": NodeRecord("1", 1, 1, "z", "127.0.0.1", 1, server)})
        self.service.set_routes([self.route])
        news: Any = News()
        self.news = news
        self.keyed_requests = KeyedRequests(news)
        self.replies: dict[str, Reply] = {}

    def ask(self, id: str) -> Any:
        message = proxied_request(id)
        message.key = b"k"

        def answer(reply: Reply) -> None:
            assert id not in self.replies
            self.replies[id] = reply

        ends_ms = self.loop.now_ms() + 1_000.0
        return self.keyed_requests.take(message, self.route, self.service, ends_ms, answer)

    def run(self, id: str) -> Any:
        """Ask, with the key granted; the attempt."""
        self.ask(id)
        self.news.told[-1](ClaimOutcome.GRANTED, None)
        return self.lines.sent[-1]


@pytest.fixture
def scene(monkeypatch: pytest.MonkeyPatch) -> Iterator[Scene]:
    yield Scene(monkeypatch)


@pytest.mark.parametrize("status", [200, 404, 500])
def test_a_repeat_gets_the_first_runs_answer_under_its_own_id(scene: Scene, status: int) -> None:
    attempt = scene.run("a")
    attempt.on_sent()
    first = server_response(status, b"a")
    first.body = b"the first run's"
    first.headers = [(b"Server-Seal", b"s1"), (b"Kind", b"x")]
    attempt.end(Result.ERROR if status == 500 else Result.SERVED, first)
    scene.loop.pass_ms(1_000.0)
    [(word, key, holder, kept)] = scene.news.words
    assert (word, key, holder) == ("record_answer", "k", "a")
    scene.ask("b")
    scene.news.told[-1](ClaimOutcome.HELD_BY_OTHER, kept)
    for id in "ab":
        reply = scene.replies[id]
        assert (reply.status, reply.body) == (status, b"the first run's")
        assert (header(reply, b"Server-Seal"), header(reply, b"Attempt-Id")) == (b"s1", id.encode())
        assert len([name for name, _ in reply.more if name == b"Attempt-Id"]) == 1
    assert len(scene.lines.sent) == 1


def lost(attempt: Any) -> None:
    attempt.on_sent()
    attempt.end(Result.RESET)


def half_sent(attempt: Any) -> None:
    attempt.request_written()
    attempt.end(Result.UNREACHABLE)


def silent(attempt: Any) -> None:
    attempt.on_sent()
    attempt.on_timeout()


def refused(attempt: Any) -> None:
    attempt.on_sent()
    attempt.end(Result.REFUSED, server_response(503, b"a", gate_outcome=b"unrun"))


def not_connected(attempt: Any) -> None:
    attempt.end(Result.UNREACHABLE)


@pytest.mark.parametrize("end", [lost, half_sent, silent])
def test_a_key_whose_run_broke_off_stays_held(scene: Scene, end: Callable[[Any], None]) -> None:
    """Also where the service keeps its own record: a run that broke off looks like an answer that did."""
    end(scene.run("a"))
    scene.loop.pass_ms(1_001.0)
    assert scene.replies["a"].status in (502, 504) and scene.news.words == [] and len(scene.lines.sent) == 1
    scene.ask("b")
    scene.news.told[-1](ClaimOutcome.HELD_BY_OTHER, None)
    assert scene.replies["b"].status == 409 and len(scene.lines.sent) == 1


def test_a_promise_without_its_proof_is_told_to_nobody(scene: Scene) -> None:
    """The server says 503 and not that it did not run it: neither the caller nor a repeat may believe it."""
    attempt = scene.run("a")
    attempt.on_sent()
    attempt.end(Result.ERROR, server_response(503, b"a"))
    scene.loop.pass_ms(1_001.0)
    assert (
        scene.replies["a"].status == 502
        and scene.news.words == []
        and stored_answer(server_response(503)) is None
    )


@pytest.mark.parametrize("end", [refused, not_connected])
def test_a_key_whose_run_never_began_is_given_back(scene: Scene, end: Callable[[Any], None]) -> None:
    scene.run("a")
    for attempt in scene.lines.sent:
        if not attempt.over:
            end(attempt)
    scene.loop.pass_ms(1_001.0)
    for attempt in scene.lines.sent:
        if not attempt.over:
            end(attempt)
    assert scene.replies["a"].status == 503 and scene.news.words == [("release", "k", "a")]


def test_a_key_granted_to_a_caller_that_has_left_is_given_back(scene: Scene) -> None:
    scene.ask("a").client_disconnected()
    scene.news.told[-1](ClaimOutcome.GRANTED, None)
    assert scene.news.words == [("release", "k", "a")] and not scene.lines.sent and not scene.replies
