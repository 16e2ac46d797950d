"""When requests were sent, by what a connection's datagrams tell."""

from __future__ import annotations

import pytest

from orchidferry.node.h3.arrivals import Arrivals

PROBE_TIMEOUT_MS = 30.0
BUDGET_MS = 3_000.0
NOT_OVERTAKEN_MS = float("inf")


def received(arrivals: Arrivals, arrived_ms: float, packet: int, newest_before: int) -> None:
    arrivals.begin_datagram(arrived_ms, newest_before)
    arrivals.note_missing(packet)


def sent_ms(arrivals: Arrivals, overtaken_ms: float = NOT_OVERTAKEN_MS) -> float:
    return arrivals.sent_ms(PROBE_TIMEOUT_MS, BUDGET_MS, overtaken_ms)


def test_without_a_loss_a_request_counts_from_its_arrival() -> None:
    arrivals = Arrivals()
    received(arrivals, 1_000.0, packet=7, newest_before=-1)  # some libraries do not begin at 0
    assert sent_ms(arrivals) == 1_000.0
    received(arrivals, 1_100.0, packet=8, newest_before=7)
    assert sent_ms(arrivals) == 1_100.0


def test_a_request_counts_from_the_loss_before_it_until_it_is_too_old() -> None:
    arrivals = Arrivals()
    received(arrivals, 1_000.0, packet=3, newest_before=1)
    assert sent_ms(arrivals) == pytest.approx(1_000.0 - PROBE_TIMEOUT_MS)
    received(arrivals, 1_050.0, packet=4, newest_before=3)
    assert sent_ms(arrivals) == 1_000.0
    received(arrivals, 1_090.0, packet=5, newest_before=4)
    assert sent_ms(arrivals) == 1_090.0


def test_overtaken_streams_are_noted_once_each() -> None:
    arrivals = Arrivals()
    received(arrivals, 1_000.0, packet=0, newest_before=-1)
    assert arrivals.open_stream(8) == NOT_OVERTAKEN_MS
    received(arrivals, 2_000.0, packet=1, newest_before=0)
    assert arrivals.open_stream(0) == 1_000.0
    assert sent_ms(arrivals, 1_000.0) == 1_000.0
    arrivals.forget_stream(4)
    assert arrivals.open_stream(4) == NOT_OVERTAKEN_MS
    assert arrivals.open_stream(0) == NOT_OVERTAKEN_MS
    assert arrivals.next_stream == 12
