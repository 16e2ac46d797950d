"""The balancer and streamed uploads: capacity and time count only once the whole body has been sent."""

from __future__ import annotations

from orchidferry.balancing import interface as api
from tests.balancing.helpers import Node, ends, sends


def upload(node: Node, id: str, cls: str = "keyed", ttl_ms: float = 3000.0) -> list[api.Action]:
    return node.do(api.Request(id, cls, ttl_ms, upload=True))


def inflight(node: Node) -> int:
    return sum(server.inflight for server in node.balancer.server_set.servers.values())


def test_an_upload_takes_no_capacity_until_its_server_has_received_all_of_it() -> None:
    node = Node(start_capacity=1.0)
    node.serve(40)
    [send] = sends(upload(node, "u"))
    assert (node.balancer.inflight, inflight(node)) == (0, 0)
    node.do(api.Uploaded("u", 0, 2900.0), 5000.0)  # the upload took longer than the budget of any request
    assert (node.balancer.inflight, inflight(node)) == (1, 1)
    node.end("u", api.Result.SERVED, 40.0)
    assert (node.balancer.inflight, inflight(node)) == (0, 0)
    assert send.server == node.sent["u"][0]


def test_a_long_upload_does_not_make_its_server_look_slow() -> None:
    node = Node(servers=2, start_capacity=1.0)
    node.serve(60)
    [send] = sends(upload(node, "u"))
    node.now += 20_000.0
    before = node.serve(40).count(send.server)
    node.do(api.Uploaded("u", 0, 2900.0))
    node.end("u", api.Result.SERVED, 50.0)
    after = node.serve(40).count(send.server)
    assert before >= 15 and after >= 15  # about half of the requests, as many as the other server gets
    server = node.balancer.server_set.servers[send.server]
    assert not server.outstanding and node.balancer.outliers.health_factor(server, node.now) == 1.0


def test_the_time_for_retries_counts_from_the_last_byte() -> None:
    node = Node()
    upload(node, "u", ttl_ms=1000.0)
    node.do(api.Uploaded("u", 0, 2900.0), 5000.0)
    node.end("u", api.Result.ERROR, 100.0)
    node.now += 400.0
    retries = [a for t in list(node.balancer._timers) for a in sends(node.do(api.TimerFired(t)))]
    assert [send.id for send in retries] == ["u"]  # within the group's window, and within 2.9 s


def test_a_spent_upload_is_not_retried_and_is_refused_only_if_it_never_ran() -> None:
    for result, action in ((api.Result.UNREACHABLE, api.Refuse), (api.Result.RESET, api.Fail)):
        node = Node()
        upload(node, "u")
        if result is api.Result.RESET:
            node.do(api.Uploaded("u", 0, 2900.0), 100.0)
        event = api.AttemptEnded("u", 0, node.sent["u"][0], result, 10.0, False, spent=True)
        [end] = ends(node.do(event))
        assert type(end) is action
        assert not sends(node.do(api.TimerFired(99), 5000.0))


def test_an_upload_whose_client_has_disconnected_leaves_no_state() -> None:
    for complete in (False, True):
        node = Node()
        upload(node, "u")
        node.do(api.ClientGone("u"), 10.0)
        if complete:
            node.do(api.Uploaded("u", 0, 2900.0), 10.0)
        node.end("u", api.Result.RESET if complete else api.Result.UNREACHABLE, settled=True)
        assert node.balancer.inflight == 0 and inflight(node) == 0
        assert not node.balancer._uploads and not node.balancer._calls


def test_uploaded_without_a_matching_attempt_changes_nothing() -> None:
    node = Node()
    node.ask("r")
    node.do(api.Uploaded("r", 0, 100.0))
    node.do(api.Uploaded("never", 0, 100.0))
    assert node.balancer.inflight == 1
    node.end("r", api.Result.SERVED)
    assert node.balancer.inflight == 0
