"""The operators' resource `/orchidferry/configuration`: reading the newest version and taking the next one.

It checks calls and turns outcomes into answers; the state itself is kept by the configuration's shard.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from loguru import logger

from mesh.control import shard_state
from mesh.control.configuration import check, digest
from mesh.control.configuration_text import compress, expand
from mesh.control.control_api import JSON, Call, told
from mesh.control.replica import Ended
from mesh.errors import Kind, Refusal
from nickelbridge.register import Value
from orchidferry.frontend import Reply

PUT_S = 4.0  # for a change to be decided
RETRY_AFTER_S = 0.2

Answer = Callable[[Reply], None]
AskForChange = Callable[[shard_state.Change, float, Callable[[Ended], None]], None]
Read = Callable[[Callable[[Value | None], None]], None]


class ConfigurationResource:
    """The handler of one controller."""

    def __init__(self, ask: AskForChange, read: Read, growing: Callable[[], bool]) -> None:
        """`ask`: have the shard changed within some seconds; `read`: its newest state for sure; `growing`:
        whether the groups are still smaller than the tolerance needs.
        """
        self._ask, self._read, self._growing = ask, read, growing

    def __call__(self, call: Call, rest: str, answer: Answer) -> None:
        """Handle a call; `rest` is what follows the resource's path."""
        if rest:
            return answer(told(Refusal(Kind.UNKNOWN, rest[:80])))
        if call.method == b"GET":
            return self._get(answer)
        if call.method == b"PUT":
            return self._put(call, answer)
        return answer(told(Refusal(Kind.UNREADABLE, "PUT or GET")))

    def _get(self, answer: Answer) -> None:
        def got(value: Value | None) -> None:
            if value is None:
                answer(told(Refusal(Kind.NO_MAJORITY), RETRY_AFTER_S))
            elif not shard_state.body(value).revision:
                answer(told(Refusal(Kind.UNKNOWN, "there is no configuration yet")))
            else:
                answer(Reply(200, expand(shard_state.body(value).raw), JSON))

        self._read(got)

    def _put(self, call: Call, answer: Answer) -> None:
        on = call.headers.get(b"if-match", b"").strip(b' "')
        if not on.isdigit():
            return answer(told(Refusal(Kind.UNREADABLE, "If-Match: a version is needed")))
        found = check(call.body)
        if isinstance(found, Refusal):
            logger.info("configuration: refused, {}", found.line)
            return answer(told(found))
        if self._growing():
            return answer(told(Refusal(Kind.STARTING, "the group of controllers is growing"), RETRY_AFTER_S))
        revision = found.revision
        change = shard_state.Put(compress(call.body), revision, digest(call.body), int(on))
        self._ask(change, PUT_S, lambda end: answer(_outcome(end, revision)))


def _outcome(end: Ended, revision: int) -> Reply:
    """The answer to a change that is over."""
    if end.value is None:
        return told(Refusal(Kind.LATE, "no majority of controllers answered"), RETRY_AFTER_S)
    if end.why:
        kind = Kind.OLD_VERSION if end.why == shard_state.OLD_VERSION else Kind.OTHER_VERSION
        return told(Refusal(kind, f"{shard_state.body(end.value).revision} is current"))
    return Reply(200, json.dumps({"revision_number": revision}).encode(), JSON)
