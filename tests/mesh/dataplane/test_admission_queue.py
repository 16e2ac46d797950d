"""The order in which requests leave the queue, and their timeouts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from orchidferry.mesh.dataplane.admission_queue import AdmissionQueue, QueuedRequest
from tests.mesh.fakes import loop_and_connections


def queue_of(
    *ranks: int, timeout_s: float = 1.0
) -> tuple[AdmissionQueue[QueuedRequest], list[QueuedRequest]]:
    """Return a queue, and the requests with these ranks that were added to it in this order."""
    _, connections = loop_and_connections()
    queue: AdmissionQueue[QueuedRequest] = AdmissionQueue(connections.timers)
    requests = [QueuedRequest(rank) for rank in ranks]
    for request in requests:
        queue.add(request, timeout_s, lambda request: None)
    return queue, requests


@given(st.lists(st.integers(0, 3), max_size=12))
def test_requests_leave_by_rank_then_by_arrival(ranks: list[int]) -> None:
    queue, requests = queue_of(*ranks)
    order = [queue.pop_first() for _ in ranks]
    assert order == sorted(requests, key=lambda request: request.rank) and queue.length == 0


@given(st.lists(st.integers(0, 3), min_size=1, max_size=12), st.integers(0, 3))
def test_a_more_important_request_displaces_the_newest_of_the_least_important_rank(
    ranks: list[int], rank: int
) -> None:
    queue, requests = queue_of(*ranks)
    displaced = queue.pop_last_below(rank)
    if max(ranks) <= rank:
        assert displaced is None and queue.length == len(ranks)
    else:
        assert displaced is [request for request in requests if request.rank == max(ranks)][-1]
        assert displaced not in queue.waiting() and queue.length == len(ranks) - 1


def test_a_request_has_left_the_queue_when_its_timeout_is_reported() -> None:
    loop, connections = loop_and_connections()
    queue: AdmissionQueue[QueuedRequest] = AdmissionQueue(connections.timers)
    expired: list[tuple[QueuedRequest, int]] = []
    requests = [QueuedRequest(0) for _ in range(3)]
    for request, timeout_s in zip(requests, (0.1, 0.2, 0.1), strict=True):
        queue.add(request, timeout_s, lambda request: expired.append((request, queue.length)))
    queue.discard(requests[2])
    queue.discard(requests[2])  # a second time changes nothing
    loop.pass_ms(150.0)
    assert expired == [(requests[0], 1)] and queue.waiting() == [requests[1]]
