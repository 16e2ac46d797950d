"""The adapter: hosts one `Balancer` per simulated node and speaks the bench's wire.

One JSON batch a line on standard input, one JSON reply a line on standard output. No decisions are
made here. Malformed input ends the process with one line on standard error and exit status 2.
"""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable
from typing import Any, TextIO, TypeVar

from nickelbridge import interface as api
from nickelbridge.logic import Balancer

Json = dict[str, Any]

REPEATS = {"retryable": api.Repeat.SAFE, "dedup": api.Repeat.KEYED, "fragile": api.Repeat.UNSAFE}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}
HEALTH = {
    "in_service": api.Health.IN_SERVICE,
    "terminating": api.Health.DRAINING,
    "terminated": api.Health.GONE,
}
FORMS = {
    "INCREMENTAL": api.ListKind.CHANGES,
    "FULL": api.ListKind.FULL,
    "SAVED": api.ListKind.SAVED,
    "FAILED": api.ListKind.FAILED,
}
RESULTS = {
    100: api.Result.SERVED,
    301: api.Result.ERROR,
    302: api.Result.REFUSED,
    303: api.Result.TIMEOUT,
    304: api.Result.UNREACHABLE,
    305: api.Result.RESET,
    306: api.Result.CANCELLED,
    307: api.Result.MOOT,
}
KINDS: dict[type | tuple[type, ...], str] = {
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    (int, float): "a number",
    dict: "an object",
    list: "an array",
}
T = TypeVar("T")
NUMBER = (int, float)


class Malformed(Exception):
    """Input that does not follow the wire."""


def _get(obj: Json, key: str, kind: type | tuple[type, ...]) -> Any:
    try:
        value = obj[key]
    except KeyError:
        raise Malformed(f"{key!r} is missing") from None
    if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
        raise Malformed(f"{key!r} must be {KINDS[kind]}, not {value!r:.60}")
    if isinstance(value, float) and not math.isfinite(value):
        raise Malformed(f"{key!r} must be a finite number, not {value!r}")
    return value


def _opt(obj: Json, key: str, kind: type | tuple[type, ...], default: Any) -> Any:
    return default if obj.get(key) is None else _get(obj, key, kind)


def _word(obj: Json, key: str, words: dict[Any, T], kind: type = str) -> T:
    value = _get(obj, key, kind)
    if value not in words:
        raise Malformed(f"{key!r} is {value!r:.60}, which is none of {', '.join(map(str, words))}")
    return words[value]


def _objects(obj: Json, key: str) -> list[Json]:
    values: list[Json] = _get(obj, key, list)
    for n, value in enumerate(values):
        if not isinstance(value, dict):
            raise Malformed(f"{key}[{n}] must be an object, not {value!r:.60}")
    return values


def read_settings(env: Json) -> api.Settings:
    """Turn the wire's start-up settings into the module's; unknown keys are ignored."""
    classes = [
        api.RequestClass(
            name=_get(c, "name", str),
            aim_ms=_get(c, "objective_ms", NUMBER),
            deadline_ms=_get(c, "give_up_ms", NUMBER),
            worth=_opt(c, "importance", NUMBER, 1.0),
            late_worth=_opt(c, "late_worth", NUMBER, 0.0),
            repeat=_word(c, "semantics", REPEATS),
            group=_word(c, "dedup_scope", GROUPS) if c.get("semantics") == "dedup" else api.Group.ALL,
            window_ms=_get(c, "window_ms", NUMBER) if c.get("semantics") == "dedup" else 0.0,
        )
        for c in _objects(env, "classes")
    ]
    tenants = [
        api.Tenant(
            _get(t, "name", str), _opt(t, "fraction", NUMBER, 0.0), _opt(t, "quota_per_s", NUMBER, 0.0)
        )
        for t in (_objects(env, "tenants") if env.get("tenants") else [])
    ]
    allow, rules = _get(env, "permissions", dict), _get(env, "rules", dict)
    prices = _opt(env, "prices", dict, {})
    worst = _opt(_opt(env, "score_parts", dict, {}), "worst_class", NUMBER, 0.0)
    return api.Settings(
        classes=classes,
        tenants=tenants,
        over_share_worth=_opt(env, "over_share_worth", NUMBER, 1.0),
        worst_class=worst / (1.0 - worst) if 0.0 <= worst < 1.0 else 0.0,
        zone=_opt(env, "locality", str, ""),
        nodes=max(1, _get(env, "siblings", int)),
        number=_opt(env, "my_number", int, 0),
        tier=_opt(env, "tier", int, 0),
        tiers=max(1, len(_opt(env, "stages", list, []))),
        passes_deadline=_opt(_opt(env, "family_info", dict, {}), "passes_deadline", bool, False),
        follow_list=_get(env, "membership_mode", str) == "on_request",
        ask_every_ms=_get(rules, "ask_every_ms", NUMBER),
        max_attempts=_get(allow, "max_attempts", int),
        parallel_attempts=_opt(allow, "parallel_tries", bool, False),
        can_cancel=_opt(allow, "may_cancel", bool, False),
        max_retry_after_ms=(
            _opt(allow, "max_retry_after_ms", NUMBER, 0.0) if _opt(allow, "retry_after", bool, False) else 0.0
        ),
        connect_timeout_ms=_get(allow, "connect_timeout_ms", NUMBER),
        tick_ms=_opt(env, "quantum_ms", NUMBER, 0.0),
        answer_slack_ms=_opt(rules, "answer_slack_ms", NUMBER, 0.0),
        drain_grace_ms=_get(rules, "stop_sending_within_ms", NUMBER),
        start_capacity=_get(rules, "start_capacity", NUMBER),
        ramp_time_ms=_get(rules, "ramp_time_ms", NUMBER),
        overload_factor=_get(rules, "overload_factor", NUMBER),
        overload_for_ms=_get(rules, "overload_for_ms", NUMBER),
        repeat_ratio=_opt(rules, "repeat_ratio", NUMBER, None),
        extra_floor=_opt(rules, "extra_floor", NUMBER, 0.0),
        resend_span_ms=_opt(rules, "resend_span_ms", NUMBER, 0.0),
        full_may_have_run=_opt(rules, "full_may_have_run", bool, False),
        cross_zone_price=_opt(prices, "cross_zone", NUMBER, 0.0),
        handshake_price=_opt(prices, "handshake", NUMBER, 0.0),
    )


def _entries(item: Json) -> list[api.ServerEntry]:
    return [
        api.ServerEntry(
            server=_get(e, "server", int),
            zone=_opt(e, "failure_domain", str, ""),
            kind=_opt(e, "sku", str, ""),
            cell=_opt(e, "group", int, 0),
            health=_word(e, "health", HEALTH),
            share=_opt(e, "share", NUMBER, 1.0),
            started_ms=_opt(e, "boot_time_ms", NUMBER, 0.0) or None,
        )
        for e in _objects(item, "elements")
    ]


def _request(item: Json) -> api.Event:
    return api.Request(
        _get(item, "request_id", str),
        _get(item, "type", str),
        _get(item, "ttl_ms", NUMBER),
        None if item.get("owner") == 0 else _opt(item, "owner", str, None),  # 0: no tenants here
        _opt(item, "again_by_client", bool, False),
    )


def _report(item: Json) -> dict[str, float] | None:
    """A load report; values that are absent are left out, negative ones (they are noisy) count as 0."""
    report = _opt(item, "report", dict, None)
    if report is None:
        return None
    return {name: max(0.0, _get(report, name, NUMBER)) for name, value in report.items() if value is not None}


def _completed(item: Json) -> api.Event:
    return api.AttemptEnded(
        _get(item, "request_id", str),
        _get(item, "send_no", int),
        _get(item, "server", int),
        _word(item, "disposition", RESULTS, int),
        _get(item, "duration_ms", NUMBER),
        _get(item, "settled", bool),
        _report(item),
    )


def _streaming(item: Json) -> api.Event:
    request, attempt = _get(item, "request_id", str), _get(item, "send_no", int)
    return api.StreamStarted(request, attempt, _get(item, "server", int))


READERS: dict[str, Callable[[Json], api.Event]] = {
    "JobIn": _request,
    "Completed": _completed,
    "Fired": lambda item: api.TimerFired(_get(item, "nonce", int)),
    "ClientGone": lambda item: api.ClientGone(_get(item, "request_id", str)),
    "Streaming": _streaming,
}
IGNORED = {"NeighbourSays", "StatusBack"}  # the module neither probes nor talks to peers


def _write(node: str, action: api.Action) -> Json:
    match action:
        case api.Send():
            return {"kind": "SubmitTo", "node": node, "request_id": action.id, "server": action.server,
                    "within_ms": action.timeout_ms}  # fmt: skip
        case api.SetTimer():
            return {"kind": "WakeAt", "node": node, "nonce": action.token, "span_ms": action.delay_ms}
        case api.Fail():
            return {"kind": "RespondError", "node": node, "request_id": action.id}
        case api.Refuse():
            return {"kind": "Deny", "node": node, "request_id": action.id,
                    "stay_away_ms": action.retry_after_ms}  # fmt: skip
        case api.Cancel():
            return {"kind": "StopAttempt", "node": node, "request_id": action.id, "send_no": action.attempt}
        case api.CloseIdle():
            return {"kind": "FreeLinks", "node": node, "server": action.server}
        case api.Subscribe():
            return {"kind": "Track", "node": node, "on": True}
        case api.Log():
            return {"kind": "Print", "node": node, "body_text": action.text}


class Host:
    """All instances of one process, kept apart; they share the list pages only."""

    def __init__(self) -> None:
        self._nodes: dict[str, Balancer] = {}
        self._pages: dict[int, list[api.ServerEntry]] = {}

    def batch(self, message: Json) -> Json:
        """Answer one batch."""
        now: float = _get(message, "ts_ms", NUMBER)
        number = _get(message, "round", int)
        actions: list[Json] = []
        for n, item in enumerate(_objects(message, "items")):
            try:
                self._item(item, now, actions)
            except Malformed as problem:
                raise Malformed(f"items[{n}] ({item.get('kind')!r:.40}): {problem}") from None
        return {"round": number, "actions": actions}

    def _item(self, item: Json, now: float, actions: list[Json]) -> None:
        kind = _get(item, "kind", str)
        if kind == "Page":
            self._pages[_get(item, "bank", int)] = _entries(item)
            return
        name = _get(item, "node", str)
        if kind == "Launch":
            try:
                settings = read_settings(_get(item, "env", dict))
            except ValueError as problem:
                raise Malformed(f"'env' has impossible settings: {problem}") from None
            self._nodes[name] = Balancer(settings, _get(item, "salt", int))
            event: api.Event = api.Started()
        elif name not in self._nodes:
            raise Malformed(f"node {name!r:.40} is not running")
        elif kind == "PowerOff":
            del self._nodes[name]
            return
        elif kind == "View":
            event = self._view(item)
        elif kind in READERS:
            event = READERS[kind](item)
            if isinstance(event, api.Request) and event.cls not in self._nodes[name].classes:
                raise Malformed(f"'type' is {event.cls!r:.40}, which is no class of the settings")
        elif kind in IGNORED:
            return
        else:
            raise Malformed("unknown kind of event")
        for action in self._nodes[name].handle(event, now):
            actions.append(_write(name, action))

    def _view(self, item: Json) -> api.Event:
        form = _word(item, "form", FORMS)
        if form is api.ListKind.FAILED:
            return api.ServerList(form)
        bank = _get(item, "bank", int)
        if bank not in self._pages:
            raise Malformed(f"'bank' {bank} has had no Page")
        return api.ServerList(form, _get(item, "stamp", int), self._pages[bank])


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until input ends; the exit status."""
    host, number = Host(), 1
    while True:
        try:
            try:
                line = source.readline()
                message = json.loads(line) if line else None
            except (ValueError, RecursionError) as problem:
                raise Malformed(f"not JSON: {problem!s:.200}") from None
            if not line:
                return 0
            if not isinstance(message, dict):
                raise Malformed(f"a batch must be an object, not {message!r:.60}")
            reply = host.batch(message)
        except Malformed as problem:
            print(f"nickelbridge: input line {number}: {problem}", file=errors)
            return 2
        number += 1
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
