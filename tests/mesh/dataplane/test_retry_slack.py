"""A node's share of the retry slack."""

from __future__ import annotations

import pytest

from orchidferry.mesh.dataplane.retry_slack import SLACK_FRACTION, SPARE_NODES, RetrySlack
from orchidferry.mesh.settings import Bounds
from tests.mesh.fakes import Loop


def test_a_node_has_no_slack_within_one_window_of_its_start() -> None:
    loop = Loop()
    available: list[float] = []
    slack = RetrySlack(Bounds(), loop, lambda: available.append(loop.now_s))  # type: ignore[arg-type]
    started_s = loop.now_s
    assert not slack.set_node_count(2) and slack.retries() == slack.retries() == 0.0
    loop.pass_ms(Bounds().retry_window_s * 1e3 + 1.0)
    assert available == [started_s + Bounds().retry_window_s]
    assert slack.retries() == pytest.approx(SLACK_FRACTION * Bounds().retry_slack / SPARE_NODES / 2)


def test_the_share_of_a_node_never_grows() -> None:
    loop = Loop()
    slack = RetrySlack(Bounds(), loop, lambda: None)  # type: ignore[arg-type]
    loop.pass_ms(Bounds().retry_window_s * 1e3)
    assert slack.set_node_count(4)
    share = slack.retries()
    assert not slack.set_node_count(4) and not slack.set_node_count(1) and slack.retries() == share
    assert slack.set_node_count(8) and slack.retries() == pytest.approx(share / 2)
