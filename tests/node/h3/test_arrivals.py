"""Estimates of when requests were sent, by a connection's packet numbers and stream ids."""

from __future__ import annotations

import pytest

from orchidferry.node.h3.arrivals import Arrivals

PROBE_TIMEOUT_MS = 30.0
BUDGET_MS = 3_000.0
NOT_OVERTAKEN_MS = float("inf")


def receive(arrivals: Arrivals, arrived_ms: float, packet: int, largest_before: int) -> None:
    """Receive a datagram with one packet of this number."""
    arrivals.begin_datagram(arrived_ms, largest_before)
    arrivals.note_missing(packet)


def sent_ms(arrivals: Arrivals, overtaken_ms: float = NOT_OVERTAKEN_MS) -> float:
    return arrivals.sent_ms(PROBE_TIMEOUT_MS, BUDGET_MS, overtaken_ms)


def test_without_a_loss_a_request_counts_as_sent_on_arrival() -> None:
    arrivals = Arrivals()
    receive(
        arrivals, 1_000.0, packet=7, largest_before=-1
    )  # some libraries do not begin with packet number 0
    assert sent_ms(arrivals) == 1_000.0
    receive(arrivals, 1_100.0, packet=8, largest_before=7)
    assert sent_ms(arrivals) == 1_100.0


def test_after_a_loss_a_request_counts_as_sent_earlier_until_the_loss_is_too_old() -> None:
    arrivals = Arrivals()
    receive(arrivals, 1_000.0, packet=3, largest_before=1)
    assert sent_ms(arrivals) == pytest.approx(1_000.0 - PROBE_TIMEOUT_MS)
    receive(arrivals, 1_050.0, packet=4, largest_before=3)
    assert sent_ms(arrivals) == 1_000.0
    receive(arrivals, 1_090.0, packet=5, largest_before=4)
    assert sent_ms(arrivals) == 1_090.0


def test_the_time_at_which_a_stream_was_overtaken_is_returned_once() -> None:
    arrivals = Arrivals()
    receive(arrivals, 1_000.0, packet=0, largest_before=-1)
    assert arrivals.open_stream(8) == NOT_OVERTAKEN_MS
    receive(arrivals, 2_000.0, packet=1, largest_before=0)
    assert arrivals.open_stream(0) == 1_000.0
    assert sent_ms(arrivals, 1_000.0) == 1_000.0
    arrivals.forget_stream(4)
    assert arrivals.open_stream(4) == NOT_OVERTAKEN_MS
    assert arrivals.open_stream(0) == NOT_OVERTAKEN_MS
    assert arrivals.next_stream == 12
