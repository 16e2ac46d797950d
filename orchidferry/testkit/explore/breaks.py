"""Deliberate breaks of the node and its balancer (mutations), each of which the exploration must detect.

They are monkeypatches: `broken` applies one and reverts it afterwards. None of them is in the shipping code.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing import logic, records, slow_start
from orchidferry.balancing.interface import Result
from orchidferry.node import client_connection, node, pending_request, timer_queue, upstream_connection
from orchidferry.node import reply as reply_module

Patch = tuple[Any, str, Any]  # the owner of an attribute, the attribute's name, and its replacement


def _answer_twice() -> list[Patch]:
    inner = client_connection.ClientConnection._write_reply

    def write(self: Any, reply: Any) -> None:
        inner(self, reply)
        if reply.status == 200 and not self._transport.is_closing():
            self._transport.write(reply_module.render(reply, False))

    return [(client_connection.ClientConnection, "_write_reply", write)]


def _lose_answer() -> list[Patch]:
    inner = node.Node.finish

    def finish(self: Any, live: Any, reply: Any) -> None:
        if reply.status == 502 and live is not None:
            self._remove(live)
        else:
            inner(self, live, reply)

    return [(node.Node, "finish", finish)]


def _late_backstop() -> list[Patch]:
    inner = node.Node._set_backstop

    def watch(self: Any, live: Any) -> None:
        live.ends_ms += 400.0
        inner(self, live)
        live.ends_ms -= 400.0

    def deadline_passed(self: Any, live: Any) -> None:
        if self._remove(live):
            live.answer(reply_module.Reply(504, b"late"))
            self._handle(api.ClientGone(live.id))

    return [
        (node.Node, "_set_backstop", watch),
        (node.Node, "deadline_passed", deadline_passed),
        (node, "MARGIN_MS", -300.0),
    ]


def _resend_unsafe() -> list[Patch]:
    return [(logic.Balancer, "_repeatable", lambda self, call, now: True)]


def _never_ran_early() -> list[Patch]:
    """A connection lost after the last byte of a request counts as proof that the request did not run."""
    return [
        (logic, "NEVER_RAN", frozenset((Result.REFUSED, Result.UNREACHABLE, Result.MOOT, Result.RESET))),
        (upstream_connection.Connection, "connection_lost", _lost_as_unreachable()),
    ]


def _lost_as_unreachable() -> Callable[..., None]:
    inner = upstream_connection.Connection.connection_lost

    def lost(self: Any, exc: Exception | None) -> None:
        if self._attempt is not None:
            self._lost = True
            self._upstream.forget(self)
            self._finish_attempt(Result.UNREACHABLE, reuse=False)
        else:
            inner(self, exc)

    return lost


def _no_late_check() -> list[Patch]:
    return [(pending_request.RequestAttempt, "may_send", lambda self: True)]


def _ignore_drain() -> list[Patch]:
    inner = node.Node.apply_listing

    def take(self: Any, listing: Any, kind: Any) -> None:
        for entry in listing.entries:
            if entry.health is api.Health.DRAINING:
                entry.health = api.Health.IN_SERVICE
        inner(self, listing, kind)

    return [(node.Node, "apply_listing", take)]


def _forget_gone() -> list[Patch]:
    inner = node.Node.apply_listing

    def take(self: Any, listing: Any, kind: Any) -> None:
        listing.entries = [entry for entry in listing.entries if entry.health is not api.Health.GONE]
        inner(self, listing, kind)

    return [(node.Node, "apply_listing", take)]


def _lose_client_gone() -> list[Patch]:
    def gone(self: Any, live: Any) -> None:
        self._remove(live)

    return [(node.Node, "client_disconnected", gone)]


def _leak_attempt() -> list[Patch]:
    inner = pending_request.RequestAttempt.ended

    def ended(self: Any, result: Any, answer: Any) -> None:
        inner(self, result, answer)
        if result is Result.RESET:
            self._node.attempts[self._request.id, self._number] = self

    return [(pending_request.RequestAttempt, "ended", ended)]


def _swallow_end() -> list[Patch]:
    inner = node.Node.attempt_ended

    def end(self: Any, event: api.AttemptEnded) -> None:
        if event.result is not Result.REFUSED:
            inner(self, event)

    return [(node.Node, "attempt_ended", end)]


def _end_twice() -> list[Patch]:
    inner = node.Node.attempt_ended

    def end(self: Any, event: api.AttemptEnded) -> None:
        inner(self, event)
        if event.result is Result.TIMEOUT:
            inner(self, event)

    return [(node.Node, "attempt_ended", end)]


def _reuse_unread() -> list[Patch]:
    """A connection is reused even with unread input, and its loss then counts as if nothing had been sent."""
    return [(upstream_connection.Connection, "is_reusable", lambda self: True)]


def _refuse_what_may_have_run() -> list[Patch]:
    inner = logic.Balancer._end

    def end(self: Any, call: Any, why: Any = None) -> None:
        call.may_have_run_ms = None
        call.in_flight = False
        inner(self, call, why)

    return [(logic.Balancer, "_end", end)]


def _window_off() -> list[Patch]:
    def repeatable(self: Any, call: Any, now: float) -> bool:
        if call.may_have_run_ms is None or call.cls.repeat is api.Repeat.SAFE:
            return True
        return call.cls.repeat is api.Repeat.KEYED and now - call.may_have_run_ms < 10.0 * call.cls.window_ms

    return [(logic.Balancer, "_repeatable", repeatable)]


def _any_group() -> list[Patch]:
    return [(records.Server, "group", lambda self, group: None)]


def _hot_cold() -> list[Patch]:
    return [(slow_start.SlowStart, "available_tokens", lambda self, server, capacity_share, now: 100.0)]


def _leak_timer() -> list[Patch]:
    return [(timer_queue.TimerQueue, "cancel", lambda self, number: None)]


BREAKS: dict[str, tuple[str, Callable[[], list[Patch]]]] = {
    "answer-twice": ("an answer with status 200 is written twice", _answer_twice),
    "lose-answer": ("a failed request is dropped without its answer", _lose_answer),
    "late-backstop": (
        "the backstop timer fires 400 ms after the deadline, and attempts go on",
        _late_backstop,
    ),
    "resend-unsafe": ("a request of any class may be retried after any failure", _resend_unsafe),
    "never-ran-early": (
        "a connection lost after the last byte counts as proof that nothing ran",
        _never_ran_early,
    ),
    "no-late-check": ("`may_send` is not checked between connecting and sending", _no_late_check),
    "ignore-drain": ("a draining server counts as in service", _ignore_drain),
    "forget-gone": ("a server that has left stays in the list", _forget_gone),
    "lose-client-gone": ("the balancer is not told that a client has disconnected", _lose_client_gone),
    "leak-attempt": ("an attempt that was reset is not removed", _leak_attempt),
    "swallow-end": ("the end of a refused attempt is not reported", _swallow_end),
    "end-twice": ("the end of an attempt that timed out is reported twice", _end_twice),
    "reuse-unread": ("a connection is reused with unread input or an unread end of file", _reuse_unread),
    "refuse-what-may-have-run": ("a request that may have run is answered 503", _refuse_what_may_have_run),
    "window-off": ("a keyed request may be retried ten times as long as servers keep its key", _window_off),
    "any-group": ("a keyed request may go to any group of servers", _any_group),
    "hot-cold": ("a cold server has no budget", _hot_cold),
    "leak-timer": ("no timer is ever cancelled", _leak_timer),
}


@contextmanager
def broken(name: str) -> Iterator[None]:
    """Apply one of `BREAKS` to the shipping code while the context lasts; "" for none."""
    if not name:
        yield
        return
    originals: list[Patch] = []
    for owner, attribute, replacement in BREAKS[name][1]():
        originals.append((owner, attribute, getattr(owner, attribute)))
        setattr(owner, attribute, replacement)
    try:
        yield
    finally:
        for owner, attribute, original in reversed(originals):
            setattr(owner, attribute, original)
