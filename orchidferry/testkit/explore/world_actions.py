"""What may happen next in a world, and how each of it is played.

What a sound world does costs nothing; a disturbance costs one of the events that a run may have.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from orchidferry.testkit.explore.loop import Dial, Wire
from orchidferry.testkit.explore.world_node import DEADLINE_MS, no_retries, node_config, server_entry
from orchidferry.testkit.explore.world_peers import CarriedRequest
from orchidferry.testkit.explore.world_state import WorldState

WAIT_S = 0.35  # the longest that time passes at once: between two timers peers may act too
HALF_BYTES = 40  # of a request: within its head


def _do_begin(world: WorldState, what: str) -> None:
    """It asks, and half of what it asks is still on its way."""
    client = world.clients[int(what[1:])]
    _do_ask(world, what, half=True)
    world.tell(f"half of what {client.id} asks is on its way")


def _do_rest(world: WorldState, what: str) -> None:
    client = world.clients[int(what[1:])]
    assert client.wire is not None
    client.asked_s = world.loop.now
    rest = client.rest
    client.rest = b""
    world.tell(f"the rest of what {client.id} asks comes")
    client.wire.feed(rest)


def _do_no_retry(world: WorldState, what: str) -> None:
    """The delay loop lets no retry through from now on: its chance falls the other way."""
    world.closed_loop = True
    world.tell("the delay loop allows no retry any more")
    world.node._balancer.controller.retry_probability = no_retries  # type: ignore[method-assign]


def _do_hup(world: WorldState, what: str) -> None:
    """SIGHUP, with a configuration that is as it was: discovery is asked anew for the whole list."""
    world.hung_up = True
    world.watch = None
    world.tell("SIGHUP")
    world.node.reconfigure(node_config(world.size))


def _do_ask(world: WorldState, what: str, half: bool = False) -> None:
    client = world.clients[int(what[1:])]
    listener = next(listener for listener in world.loop.listeners if listener.open)
    client.wire = world.loop.accept(listener)
    client.asked_s = world.loop.now
    key = f"Idempotency-Key: k{client.number}\r\n" if client.kind == "save" else ""
    method = "GET" if client.kind == "read" else "POST"
    world.tell(f"{client.id} asks for {client.kind}")
    text = (
        f"{method} /{client.kind} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {client.id}\r\n"
        f"X-Budget: {DEADLINE_MS / 1000.0}\r\n{key}Content-Length: 0\r\n\r\n"
    ).encode()
    client.rest = text[HALF_BYTES:] if half else b""
    client.wire.feed(text[:HALF_BYTES] if half else text)


def _do_leave(world: WorldState, what: str) -> None:
    client = world.clients[int(what[1:])]
    assert client.wire is not None
    client.left = True
    world.tell(f"{client.id} leaves")
    client.wire.eof()


def _dial(world: WorldState, what: str) -> Dial:
    return world.loop.dials[int(what)]


def _do_up(world: WorldState, what: str) -> None:
    dial = _dial(world, what)
    world.tell(f"a connection to {dial.address[0]} is up")
    world.loop.up(dial)


def _do_refuse(world: WorldState, what: str) -> None:
    dial = _dial(world, what)
    world.tell(f"a connection to {dial.address[0]} is refused")
    world.loop.refuse(dial)


def _end(world: WorldState, what: str, ended: str) -> CarriedRequest:
    one = world.carried[int(what)]
    one.ended = ended
    world.tell(f"s{one.server}: {one.client} {ended}")
    return one


def _do_serve(world: WorldState, what: str) -> None:
    _end(world, what, "served").wire.feed(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok")


def _do_fail(world: WorldState, what: str) -> None:
    _end(world, what, "failed").wire.feed(b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n")


def _do_turn_away(world: WorldState, what: str) -> None:
    _end(world, what, "refused").wire.feed(b"HTTP/1.1 503 -\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")


def _do_reset(world: WorldState, what: str) -> None:
    _end(world, what, "reset").wire.lose()


def _do_close(world: WorldState, what: str) -> None:
    """It answers, and closes with the same breath."""
    one = _end(world, what, "served")
    one.wire.feed(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok")
    one.wire.eof()


def _do_cross(world: WorldState, what: str) -> None:
    """Its answer comes in the very turn in which the next timer is due, and behind it."""
    one = _end(world, what, "served")
    due = world.next_due()
    if due is not None:
        before = [entry for entry in world.loop.timers if entry[0] < due]
        if before:
            world.loop.pass_to(max(entry[0] for entry in before))
        world.loop.now = max(world.loop.now, due)
        for when, _, handle in sorted(world.loop.timers, key=lambda entry: entry[:2]):
            if when <= due and not handle.cancelled():
                world.loop.ready.append(handle)
        world.loop.timers = [entry for entry in world.loop.timers if entry[0] > due]
    if one.wire.closing:
        return
    one.wire.feed(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok")


def _do_drop(world: WorldState, what: str) -> None:
    wire = _idle_wire(world, what)
    world.tell(f"{wire.address} closes an idle connection")
    wire.eof()


def _idle_wire(world: WorldState, what: str) -> Wire:
    return next(wire for number, wire in world.idle_wires() if number == int(what))


def _do_drop_crossing(world: WorldState, what: str) -> None:
    """A close that is on its way while something else happens."""
    wire = _idle_wire(world, what)
    wire.unread = True
    world.tell(f"{wire.address} closes an idle connection, unread for a while")
    world.crossing.append((wire, b""))


def _do_stray(world: WorldState, what: str) -> None:
    """An answer that nobody asked for, on its way."""
    wire = _idle_wire(world, what)
    wire.unread = True
    world.tell(f"{wire.address} sends an answer that nobody asked for")
    world.crossing.append((wire, b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nno"))


def _news(world: WorldState, server: int, status: str, since_ms: int = 0) -> None:
    assert world.watch is not None
    world.index += 1
    wire = world.watch
    world.watch = None
    world.told[server] = world.loop.now, status
    entries = [server_entry(server) | {"status": status, "since_ms": since_ms}]
    if world.whole:  # it asks for all of them
        entries = [
            server_entry(n) | {"status": how, "since_ms": int(1_000.0 * world.cold_s.get(n, 0.0))}
            for n, (_, how) in world.told.items()
            if how != "left"
        ]
    body = json.dumps({"index": world.index, "snapshot": world.whole, "endpoints": entries}).encode()
    wire.feed(b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    world.tell(f"discovery tells s{server} {status}")


def _do_drain(world: WorldState, what: str) -> None:
    _news(world, int(what[1:]), "leaving")


def _do_gone(world: WorldState, what: str) -> None:
    _news(world, int(what[1:]), "left")


def _do_back(world: WorldState, what: str) -> None:
    server = int(what[1:])
    world.cold_s[server] = world.loop.now
    _news(world, server, "active", int(world.loop.now * 1000.0))


def _do_stop(world: WorldState, what: str) -> None:
    world.tell("SIGTERM")
    world.stopping = world.loop.run(world.node.stop())


def _do_wait(world: WorldState, what: str) -> None:
    due = world.next_due()
    assert due is not None
    due = min(due, world.loop.now + WAIT_S)
    world.tell(f"time passes to {due - 1_000.0:.3f} s")
    world.loop.pass_to(due)


ACTIONS: dict[str, Callable[[WorldState, str], None]] = {
    "begin": _do_begin,
    "rest": _do_rest,
    "no-retry": _do_no_retry,
    "hup": _do_hup,
    "ask": _do_ask,
    "leave": _do_leave,
    "up": _do_up,
    "refuse": _do_refuse,
    "serve": _do_serve,
    "fail": _do_fail,
    "turn-away": _do_turn_away,
    "reset": _do_reset,
    "close": _do_close,
    "cross": _do_cross,
    "drop": _do_drop,
    "drop-crossing": _do_drop_crossing,
    "stray": _do_stray,
    "drain": _do_drain,
    "gone": _do_gone,
    "back": _do_back,
    "stop": _do_stop,
    "wait": _do_wait,
}
"""All actions by their verbs; each takes the rest of its label."""
