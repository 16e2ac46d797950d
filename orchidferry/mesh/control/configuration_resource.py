"""The HTTP resource `/orchidferry/configuration`, with which operators read and replace the configuration.

The resource validates requests and converts results to HTTP responses; the state itself is held by the shard
of the configuration.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.mesh.control.configuration import digest
from orchidferry.mesh.control.configuration_text import compress, expand
from orchidferry.mesh.control.configuration_validation import validate
from orchidferry.mesh.control.contact import LOST_CONTACT, OUT_OF_CONTACT
from orchidferry.mesh.control.control_api import (
    JSON,
    MAX_QUOTED_PATH,
    Answer,
    ControlRequest,
    rejection_reply,
)
from orchidferry.mesh.control.order_history import MAX_NUMBER
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.node.reply import Reply

CONFIGURATION_PATH = "/orchidferry/configuration"
PUT_TIMEOUT_S = 4.0  # time for a change to be decided
RETRY_AFTER_S = 0.2
MAX_VALIDATED = 16  # size of the cache of valid configurations
REVISION_TAG = re.compile(rb'\s*(?:([0-9]{1,16})|"([0-9]{1,16})")\s*')  # value of `If-Match`

OnEnded = Callable[[RequestEnded], None]
RequestChange = Callable[[shard_state.Change, float, OnEnded], None]
RequestRead = Callable[[OnEnded], None]


@dataclass(frozen=True, slots=True)
class ValidConfiguration:
    """A valid configuration.

    :param compressed_text: the text in the form in which it is stored (`configuration_text.compress`).
    """

    revision: int
    compressed_text: bytes


class ConfigurationResource:
    """The request handler of the resource at one controller."""

    def __init__(
        self,
        request_change: RequestChange,
        request_read: RequestRead,
        is_growing: Callable[[], bool],
        in_contact: Callable[[], bool],
    ) -> None:
        """Create the handler.

        :param request_change: proposes a change to the configuration's shard, with a timeout in seconds.
        :param request_read: reads the shard's newest state, confirmed by a majority.
        :param is_growing: returns whether groups have fewer controllers than the configured fault tolerance
            needs.
        :param in_contact: returns whether a majority of controllers has recently acknowledged this one.
        """
        self._request_change = request_change
        self._request_read = request_read
        self._is_growing = is_growing
        self._in_contact = in_contact
        self._validated: dict[bytes, ValidConfiguration] = {}  # by digest, the newest last

    def __call__(self, request: ControlRequest, rest: str, answer: Answer) -> None:
        """Handle a request.

        :param rest: rest of the path, below the path of the resource.
        :param answer: called with the response.
        """
        if rest:
            return _reject(answer, RejectionReason.NOT_FOUND, rest[:MAX_QUOTED_PATH])
        if request.method == b"GET":
            return self._get(answer)
        if request.method == b"PUT":
            return self._put(request, answer)
        return _reject(answer, RejectionReason.MALFORMED, "PUT or GET")

    def _get(self, answer: Answer) -> None:
        def finish(read: RequestEnded) -> None:
            if read.value is None:
                out_of_contact = read.why in (OUT_OF_CONTACT, LOST_CONTACT)
                reason = RejectionReason.OUT_OF_CONTACT if out_of_contact else RejectionReason.NO_MAJORITY
                return answer(rejection_reply(Rejection(reason), RETRY_AFTER_S))
            state = shard_state.body(read.value)
            if not state.revision:
                return _reject(answer, RejectionReason.NOT_FOUND, "there is no configuration yet")
            answer(Reply(200, expand(state.compressed_text), JSON))
            return None

        self._request_read(finish)

    def _put(self, request: ControlRequest, answer: Answer) -> None:
        base = base_revision(request.headers.get(b"if-match", b""))
        if base is None:
            detail = "If-Match: one version, such as 5, is needed"
            return _reject(answer, RejectionReason.MALFORMED, detail)
        if not self._in_contact():  # checked first, as validation is expensive
            return answer(rejection_reply(Rejection(RejectionReason.OUT_OF_CONTACT), RETRY_AFTER_S))
        key = digest(request.body)
        found = self._validated.get(key) or self._validate(key, request.body)
        if isinstance(found, Rejection):
            logger.info("configuration: rejected: {}", found.line)
            return answer(rejection_reply(found))
        if self._is_growing():
            rejection = Rejection(RejectionReason.NOT_READY, "the group of controllers is growing")
            return answer(rejection_reply(rejection, RETRY_AFTER_S))
        change = shard_state.PutConfiguration(found.compressed_text, found.revision, key, base)
        self._request_change(change, PUT_TIMEOUT_S, lambda ended: answer(_put_reply(ended, found.revision)))
        return None

    def _validate(self, key: bytes, text: bytes) -> ValidConfiguration | Rejection:
        """Validate a configuration, and cache the result if it is valid.

        :param key: digest of the text.
        """
        found = validate(text)
        if isinstance(found, Rejection):
            return found
        if found.revision > MAX_NUMBER:
            detail = f"configuration: revision_number: {MAX_NUMBER} at most"
            return Rejection(RejectionReason.INVALID, detail)
        if len(self._validated) >= MAX_VALIDATED:
            del self._validated[next(iter(self._validated))]
        self._validated[key] = ValidConfiguration(found.revision, compress(text))
        return self._validated[key]


def _reject(answer: Answer, reason: RejectionReason, detail: str) -> None:
    answer(rejection_reply(Rejection(reason, detail)))


def base_revision(if_match: bytes) -> int | None:
    """Return the revision that a change is based on, from the header If-Match (RFC 9110, 13.1.1).

    :returns: None if the header does not contain exactly one revision. A weak tag is not accepted, as it
        matches all equivalent contents.

    >>> base_revision(b"5"), base_revision(b' "12" '), base_revision(b'W/"5"'), base_revision(b"5, 6")
    (5, 12, None, None)
    """
    found = REVISION_TAG.fullmatch(if_match)
    if found is None:
        return None
    revision = int(found[1] or found[2])
    return revision if revision <= MAX_NUMBER else None


def _put_reply(ended: RequestEnded, revision: int) -> Reply:
    """Return the response for a change that has ended; one with an unknown result may be committed."""
    if ended.value is None:
        out_of_contact = ended.why == OUT_OF_CONTACT
        reason = RejectionReason.OUT_OF_CONTACT if out_of_contact else RejectionReason.COMMIT_UNKNOWN
        return rejection_reply(Rejection(reason), RETRY_AFTER_S)
    if ended.why == shard_state.UNKNOWN_ORDER:
        detail = f"revision {revision} is older than what this controller remembers"
        return rejection_reply(Rejection(RejectionReason.HISTORY_EXPIRED, detail), RETRY_AFTER_S)
    if ended.why:
        stale = ended.why == shard_state.OLD_VERSION
        reason = RejectionReason.STALE_VERSION if stale else RejectionReason.VERSION_MISMATCH
        return rejection_reply(Rejection(reason, f"{shard_state.body(ended.value).revision} is current"))
    return Reply(200, json.dumps({"revision_number": revision}).encode(), JSON)
