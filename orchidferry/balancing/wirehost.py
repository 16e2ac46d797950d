"""The simulator adapter: runs one `Balancer` for each simulated node.

It reads batches of events from standard input, one JSON object per line, and writes a reply with the actions
to standard output for each. Malformed input ends the process with one line on standard error and exit status
2. Nothing is decided here.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TextIO

from orchidferry.balancing import interface as api
from orchidferry.balancing.logic import Balancer
from orchidferry.balancing.settings import (
    NUMBER,
    Json,
    SettingsFormatError,
    get,
    get_choice,
    get_objects,
    get_optional,
    read_settings,
)

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


def _entries(item: Json) -> list[api.ServerEntry]:
    return [
        api.ServerEntry(
            server=get(e, "server", int),
            zone=get_optional(e, "failure_domain", str, ""),
            kind=get_optional(e, "sku", str, ""),
            cell=get_optional(e, "group", int, 0),
            health=get_choice(e, "health", HEALTH),
            share=get_optional(e, "share", NUMBER, 1.0),
            started_ms=get_optional(e, "boot_time_ms", NUMBER, 0.0) or None,
        )
        for e in get_objects(item, "elements")
    ]


def _request(item: Json) -> api.Event:
    return api.Request(
        get(item, "request_id", str),
        get(item, "type", str),
        get(item, "ttl_ms", NUMBER),
        None if item.get("owner") == 0 else get_optional(item, "owner", str, None),  # 0: there are no tenants
        get_optional(item, "again_by_client", bool, False),
    )


def _report(item: Json) -> dict[str, float] | None:
    """A load report without null values; negative values, which come from noise, count as 0."""
    report = get_optional(item, "report", dict, None)
    if report is None:
        return None
    return {name: max(0.0, get(report, name, NUMBER)) for name, value in report.items() if value is not None}


def _completed(item: Json) -> api.Event:
    return api.AttemptEnded(
        get(item, "request_id", str),
        get(item, "send_no", int),
        get(item, "server", int),
        get_choice(item, "disposition", RESULTS, int),
        get(item, "duration_ms", NUMBER),
        get(item, "settled", bool),
        _report(item),
    )


def _streaming(item: Json) -> api.Event:
    request = get(item, "request_id", str)
    attempt = get(item, "send_no", int)
    return api.StreamStarted(request, attempt, get(item, "server", int))


READERS: dict[str, Callable[[Json], api.Event]] = {
    "JobIn": _request,
    "Completed": _completed,
    "Fired": lambda item: api.TimerFired(get(item, "nonce", int)),
    "ClientGone": lambda item: api.ClientGone(get(item, "request_id", str)),
    "Streaming": _streaming,
}
IGNORED = {"NeighbourSays", "StatusBack"}  # balancers neither send probes nor exchange messages


def _write(node: str, action: api.Action) -> Json:
    match action:
        case api.Send():
            return {
                "kind": "SubmitTo",
                "node": node,
                "request_id": action.id,
                "server": action.server,
                "within_ms": action.timeout_ms,
            }
        case api.SetTimer():
            return {"kind": "WakeAt", "node": node, "nonce": action.token, "span_ms": action.delay_ms}
        case api.Fail():
            return {"kind": "RespondError", "node": node, "request_id": action.id}
        case api.Refuse():
            return {
                "kind": "Deny",
                "node": node,
                "request_id": action.id,
                "stay_away_ms": action.retry_after_ms,
            }
        case api.Cancel():
            return {"kind": "StopAttempt", "node": node, "request_id": action.id, "send_no": action.attempt}
        case api.CloseIdle():
            return {"kind": "FreeLinks", "node": node, "server": action.server}
        case api.Subscribe():
            return {"kind": "Track", "node": node, "on": True}
        case api.Log():
            return {"kind": "Print", "node": node, "body_text": action.text}


class Host:
    """The balancers of all simulated nodes; they share only the pages of the server list."""

    def __init__(self) -> None:
        self._nodes: dict[str, Balancer] = {}
        self._pages: dict[int, list[api.ServerEntry]] = {}

    def batch(self, message: Json) -> Json:
        """Handle one batch of events.

        :returns: the reply with the actions
        :raises SettingsFormatError: the batch is malformed
        """
        now: float = get(message, "ts_ms", NUMBER)
        number = get(message, "round", int)
        actions: list[Json] = []
        for index, item in enumerate(get_objects(message, "items")):
            try:
                self._item(item, now, actions)
            except SettingsFormatError as problem:
                raise SettingsFormatError(f"items[{index}] ({item.get('kind')!r:.40}): {problem}") from None
        return {"round": number, "actions": actions}

    def _item(self, item: Json, now: float, actions: list[Json]) -> None:
        kind = get(item, "kind", str)
        if kind == "Page":
            self._pages[get(item, "bank", int)] = _entries(item)
            return
        name = get(item, "node", str)
        if kind == "Launch":
            try:
                settings = read_settings(get(item, "env", dict))
            except ValueError as problem:
                raise SettingsFormatError(f"'env' has impossible settings: {problem}") from None
            self._nodes[name] = Balancer(settings, get(item, "salt", int))
            event: api.Event = api.Started()
        elif name not in self._nodes:
            raise SettingsFormatError(f"node {name!r:.40} is not running")
        elif kind == "PowerOff":
            del self._nodes[name]
            return
        elif kind == "View":
            event = self._view(item)
        elif kind in READERS:
            event = READERS[kind](item)
            if isinstance(event, api.Request) and event.cls not in self._nodes[name].classes:
                raise SettingsFormatError(f"'type' is {event.cls!r:.40}, which is no class of the settings")
        elif kind in IGNORED:
            return
        else:
            raise SettingsFormatError("unknown kind of event")
        for action in self._nodes[name].handle(event, now):
            actions.append(_write(name, action))

    def _view(self, item: Json) -> api.Event:
        form = get_choice(item, "form", FORMS)
        if form is api.ListKind.FAILED:
            return api.ServerList(form)
        bank = get(item, "bank", int)
        if bank not in self._pages:
            raise SettingsFormatError(f"'bank' {bank} has had no Page")
        return api.ServerList(form, get(item, "stamp", int), self._pages[bank])


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Reply to batches of events until the input ends.

    :returns: the exit status
    """
    host = Host()
    number = 1
    while True:
        try:
            try:
                line = source.readline()
                message = json.loads(line) if line else None
            except (ValueError, RecursionError) as problem:
                raise SettingsFormatError(f"not JSON: {problem!s:.200}") from None
            if not line:
                return 0
            if not isinstance(message, dict):
                raise SettingsFormatError(f"a batch must be an object, not {message!r:.60}")
            reply = host.batch(message)
        except SettingsFormatError as problem:
            print(f"orchidferry: input line {number}: {problem}", file=errors)
            return 2
        number += 1
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
