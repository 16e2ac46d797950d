"""Replies of the configuration resource to orders that are malformed, repeated, or older than the history.

An order is an operator's request to replace the configuration (see `order_history`).
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from unittest import mock

import pytest

from orchidferry.balancing.register import Value
from orchidferry.mesh.control import (
    configuration_resource,
    configuration_validation,
    shard_state,
)
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.mesh.control.configuration_resource import ConfigurationResource
from orchidferry.mesh.control.configuration_text import expand
from orchidferry.mesh.control.control_api import control_request
from orchidferry.node.reply import Reply
from tests.mesh.control.examples import example


def _content(number: int, **more: Any) -> bytes:
    return json.dumps(example() | {"revision_number": number} | more).encode()


class Resource:
    """The configuration resource, on a register that commits every permitted change at once."""

    def __init__(self) -> None:
        self.value = shard_state.genesis(("a", "b", "c"))
        self.resource = ConfigurationResource(
            self._request_change,
            lambda on_ended: on_ended(RequestEnded("", self.value)),
            lambda: False,
            lambda: True,
        )

    def _request_change(
        self, change: shard_state.Change, _: float, on_ended: Callable[[RequestEnded], None]
    ) -> None:
        after = change(self.value)
        self.value = after if isinstance(after, Value) else self.value
        on_ended(RequestEnded("1", self.value, after if isinstance(after, str) else ""))

    def put(self, body: bytes, if_match: bytes | None) -> Reply:
        headers = {} if if_match is None else {b"if-match": if_match}
        replies: list[Reply] = []
        self.resource(
            control_request(b"PUT", b"/orchidferry/configuration", headers, body), "", replies.append
        )
        assert len(replies) == 1
        return replies[0]


@pytest.mark.parametrize(
    "if_match",
    [
        None,
        b"",
        b"*",
        b"five",
        b"-1",
        b"+1",
        b"1.0",
        b"0x1",
        b"5, 6",
        b'"5", "6"',
        b'W/"0"',
        b'"0',
        b'""0""',
        b"9" * 17,
        b"9" * 5_000,
        b"\xb2",
        b"0;q=1",
    ],
)
def test_an_order_without_a_valid_if_match_is_rejected_in_one_line(if_match: bytes | None) -> None:
    resource = Resource()
    reply = resource.put(_content(7), if_match)
    assert reply.status == 400 and b"If-Match" in reply.body and b"\n" not in reply.body
    assert shard_state.body(resource.value).revision == 0
    assert resource.put(_content(7), b"0").status == 200


@pytest.mark.parametrize("if_match", [b"0", b'"0"', b" 0 ", b' "0" ', b"000"])
def test_if_match_may_be_quoted(if_match: bytes) -> None:
    assert Resource().put(_content(7), if_match).status == 200


def test_a_committed_order_is_acknowledged_only_if_it_is_repeated_exactly() -> None:
    resource = Resource()
    assert resource.put(_content(5), b"0").status == 200
    assert resource.put(_content(7), b"5").status == 200
    assert resource.put(_content(9), b"7").status == 200
    for if_match, status in ((b"5", 200), (b'"5"', 200), (b"0", 412), (b"6", 412), (b"7", 400), (b"9", 400)):
        assert resource.put(_content(7), if_match).status == status, if_match
    assert resource.put(_content(7) + b"\n", b"5").status == 412  # other bytes are other content
    assert resource.put(_content(7, trunk_groups=[]), b"5").status == 400  # invalid content
    assert resource.put(_content(8), b"7").status == 412  # never committed
    assert resource.put(_content(20), b"19").status == 412  # the base revision does not exist
    assert resource.put(_content(2**53), b"9").status == 400 and resource.put(_content(9), b"7").status == 200
    assert expand(shard_state.body(resource.value).compressed_text) == _content(9)


def test_copies_of_an_order_are_validated_once() -> None:
    resource = Resource()
    limit = configuration_resource.MAX_VALIDATED
    with mock.patch.object(
        configuration_resource, "validate", wraps=configuration_validation.validate
    ) as check:
        for _ in range(5):
            assert resource.put(_content(5), b"0").status == 200
        assert check.call_count == 1
        for _ in range(2):
            assert resource.put(_content(7, trunk_groups=[]), b"5").status == 400
        assert check.call_count == 3
        for number in range(10, 10 + limit):
            assert resource.put(_content(number), b"0").status == 412
        assert len(resource.resource._validated) == limit and check.call_count == 3 + limit


def test_an_order_older_than_the_history_has_an_unknown_outcome() -> None:
    resource = Resource()
    with mock.patch.object(shard_state, "MAX_LISTED_ORDERS", 2):
        for number in range(1, 5):
            assert resource.put(_content(number), b"%d" % (number - 1)).status == 200
        reply = resource.put(_content(2), b"1")
        assert reply.status == 504 and reply.retry_after_s and b"forgotten" in reply.body
        assert resource.put(_content(4), b"3").status == 200
