"""The operators' resource `/orchidferry/configuration`: reading the newest version and taking the next one.

It checks calls and turns outcomes into answers; the state itself is kept by the configuration's shard.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.mesh.control.configuration import check, digest
from orchidferry.mesh.control.configuration_text import compress, expand
from orchidferry.mesh.control.contact import LOST_CONTACT, OUT_OF_CONTACT
from orchidferry.mesh.control.control_api import JSON, Call, told
from orchidferry.mesh.control.order_history import MAX_NUMBER
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.node.frontend import Reply

PUT_S = 4.0  # for a change to be decided
RETRY_AFTER_S = 0.2
MAX_CHECKED = 16  # configurations that were checked and may come again
VERSION = re.compile(rb'\s*(?:([0-9]{1,16})|"([0-9]{1,16})")\s*')  # of `If-Match`

Answer = Callable[[Reply], None]
AskForChange = Callable[[shard_state.Change, float, Callable[[RequestEnded], None]], None]
Read = Callable[[Callable[[RequestEnded], None]], None]


@dataclass(frozen=True, slots=True)
class Checked:
    """A configuration that was found valid."""

    revision: int
    raw: bytes  # as the state keeps it


class ConfigurationResource:
    """The handler of one controller."""

    def __init__(
        self, ask: AskForChange, read: Read, growing: Callable[[], bool], in_contact: Callable[[], bool]
    ) -> None:
        """`ask`: have the shard changed within some seconds; `read`: its newest state for sure; `growing`:
        whether the groups are still smaller than the tolerance needs; `in_contact`: whether a majority of
        the controllers has lately acknowledged this one.
        """
        self._ask = ask
        self._read = read
        self._growing = growing
        self._in_contact = in_contact
        self._checked: dict[bytes, Checked] = {}  # by digest, the newest last

    def __call__(self, call: Call, rest: str, answer: Answer) -> None:
        """Handle a call; `rest` is what follows the resource's path."""
        if rest:
            return answer(told(Rejection(RejectionReason.NOT_FOUND, rest[:80])))
        if call.method == b"GET":
            return self._get(answer)
        if call.method == b"PUT":
            return self._put(call, answer)
        return answer(told(Rejection(RejectionReason.MALFORMED, "PUT or GET")))

    def _get(self, answer: Answer) -> None:
        def got(end: RequestEnded) -> None:
            if end.value is None:
                lost = end.why in (OUT_OF_CONTACT, LOST_CONTACT)
                kind = RejectionReason.OUT_OF_CONTACT if lost else RejectionReason.NO_MAJORITY
                answer(told(Rejection(kind), RETRY_AFTER_S))
            elif not shard_state.body(end.value).revision:
                answer(told(Rejection(RejectionReason.NOT_FOUND, "there is no configuration yet")))
            else:
                answer(Reply(200, expand(shard_state.body(end.value).compressed_text), JSON))

        self._read(got)

    def _put(self, call: Call, answer: Answer) -> None:
        on = base_version(call.headers.get(b"if-match", b""))
        if on is None:
            return answer(
                told(Rejection(RejectionReason.MALFORMED, "If-Match: one version, such as 5, is needed"))
            )
        if not self._in_contact():  # before the work of checking it
            return answer(told(Rejection(RejectionReason.OUT_OF_CONTACT), RETRY_AFTER_S))
        mark = digest(call.body)
        found = self._checked.get(mark) or self._check(mark, call.body)
        if isinstance(found, Rejection):
            logger.info("configuration: refused, {}", found.line)
            return answer(told(found))
        if self._growing():
            return answer(
                told(
                    Rejection(RejectionReason.NOT_READY, "the group of controllers is growing"), RETRY_AFTER_S
                )
            )
        change = shard_state.PutConfiguration(found.raw, found.revision, mark, on)
        self._ask(change, PUT_S, lambda end: answer(_outcome(end, found.revision)))

    def _check(self, mark: bytes, text: bytes) -> Checked | Rejection:
        """Check a configuration whole. One that is valid is not checked again when it is sent again."""
        found = check(text)
        if isinstance(found, Rejection):
            return found
        if found.revision > MAX_NUMBER:
            return Rejection(RejectionReason.INVALID, f"configuration: revision_number: {MAX_NUMBER} at most")
        if len(self._checked) >= MAX_CHECKED:
            del self._checked[next(iter(self._checked))]
        self._checked[mark] = Checked(found.revision, compress(text))
        return self._checked[mark]


def base_version(if_match: bytes) -> int | None:
    """The version that an order builds on; None if the header names none. A weak tag names no version: it
    stands for all that mean the same.

    >>> base_version(b"5"), base_version(b' "12" '), base_version(b'W/"5"'), base_version(b"5, 6")
    (5, 12, None, None)
    """
    found = VERSION.fullmatch(if_match)
    version = int(found[1] or found[2]) if found else MAX_NUMBER + 1
    return version if version <= MAX_NUMBER else None


def _outcome(end: RequestEnded, revision: int) -> Reply:
    """The answer to an order that is over. One that is unclear may have been taken: never a refusal."""
    if end.value is None:
        kind = RejectionReason.OUT_OF_CONTACT if end.why == OUT_OF_CONTACT else RejectionReason.COMMIT_UNKNOWN
        return told(Rejection(kind), RETRY_AFTER_S)
    if end.why == shard_state.UNKNOWN_ORDER:
        older = f"revision {revision} is older than what this controller remembers"
        return told(Rejection(RejectionReason.HISTORY_EXPIRED, older), RETRY_AFTER_S)
    if end.why:
        kind = (
            RejectionReason.STALE_VERSION
            if end.why == shard_state.OLD_VERSION
            else RejectionReason.VERSION_MISMATCH
        )
        return told(Rejection(kind, f"{shard_state.body(end.value).revision} is current"))
    return Reply(200, json.dumps({"revision_number": revision}).encode(), JSON)
