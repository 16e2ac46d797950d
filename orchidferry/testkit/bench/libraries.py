"""`orchidferry bench libraries`: CPU per request and memory per connection of QUIC libraries.

aioquic and its fork qh3 have the same sans-I/O core, so this module drives both without sockets: a client and
a server in one process pass each other their datagrams directly. A library that is not
installed is skipped with a message.
"""

from __future__ import annotations

import argparse
import importlib
import os
import tempfile
import time
from pathlib import Path
from typing import Any

from orchidferry.testkit.bench.forward_bench import rss_kb
from orchidferry.testkit.quic import certs

LIBRARIES = ("aioquic", "qh3")
BODY = b"x" * 1_000
OPEN_PAIRS = 200  # pairs of connections held open to measure the memory of one
TIMEOUT_S = 2.0  # time limit for all responses to one batch of requests
MAX_ROUNDS = 10_000  # datagram exchanges for one batch; more means that the connections never become idle
EXTRA_OPTIONS = {"max_datagram_frame_size": 65536}  # qh3 announces HTTP datagrams, and closes without this
ADDRESSES = (("127.0.0.1", 1), ("127.0.0.1", 2))


class Pair:
    """A client and a server connection of one library that exchange datagrams without a network."""

    def __init__(self, library: str, files: certs.CertificateFiles) -> None:
        def submodule(name: str) -> Any:
            return importlib.import_module(f"{library}.{name}")

        configuration = submodule("quic.configuration").QuicConfiguration
        connection = submodule("quic.connection").QuicConnection
        self._h3 = submodule("h3.connection").H3Connection
        self._events = submodule("h3.events")
        client_configuration = configuration(
            is_client=True, alpn_protocols=["h3"], server_name=certs.SERVER_NAME, **EXTRA_OPTIONS
        )
        client_configuration.load_verify_locations(str(files.ca))
        server_configuration = configuration(is_client=False, alpn_protocols=["h3"], **EXTRA_OPTIONS)
        server_configuration.load_cert_chain(str(files.certificate), str(files.key))
        self.client = connection(configuration=client_configuration)
        self.client.connect(ADDRESSES[1], now=time.monotonic())
        self.server = connection(
            configuration=server_configuration,
            original_destination_connection_id=self.client.original_destination_connection_id,
        )
        self._http: list[Any] = []
        self._exchange_datagrams()
        self._http = [self._h3(self.client), self._h3(self.server)]
        self._exchange_datagrams()

    def _exchange_datagrams(self) -> list[Any]:
        """Exchange datagrams until neither side has one to send.

        :returns: the HTTP events at the client.
        """
        client_events: list[Any] = []
        for _ in range(MAX_ROUNDS):
            progress = False
            for side, (source, sink, sender) in enumerate(
                ((self.client, self.server, ADDRESSES[0]), (self.server, self.client, ADDRESSES[1]))
            ):
                now = time.monotonic()
                for data, _ in source.datagrams_to_send(now=now):
                    sink.receive_datagram(data, sender, now=now)
                    progress = True
                while self._http and (event := sink.next_event()) is not None:
                    for http_event in self._http[1 - side].handle_event(event):
                        if side == 1:
                            client_events.append(http_event)
                        elif isinstance(http_event, self._events.HeadersReceived):
                            self._respond(http_event.stream_id)
                            progress = True
            if not progress:
                return client_events
        raise RuntimeError("the connections did not become idle within the limit of datagram exchanges")

    def _respond(self, stream: int) -> None:
        headers = [(b":status", b"200"), (b"content-length", b"%d" % len(BODY))]
        self._http[1].send_headers(stream, headers)
        self._http[1].send_data(stream, BODY, end_stream=True)

    def request(self, count: int) -> int:
        """Send `count` requests at once.

        :returns: the number of requests that were answered completely.
        """
        received: dict[int, int] = {}  # bytes received, by stream id
        deadline = time.monotonic() + TIMEOUT_S
        for _ in range(count):
            stream = self.client.get_next_available_stream_id()
            received[stream] = 0
            headers = [
                (b":method", b"GET"),
                (b":scheme", b"https"),
                (b":authority", b"a"),
                (b":path", b"/ler-feed"),
                (b"x-call-id", b"%d" % stream),
                (b"x-budget", b"2.000"),
            ]
            self._http[0].send_headers(stream, headers, end_stream=True)
        while True:
            for event in self._exchange_datagrams():
                if isinstance(event, self._events.DataReceived) and event.stream_id in received:
                    received[event.stream_id] += len(event.data)
            now = time.monotonic()
            if all(size == len(BODY) for size in received.values()) or now > deadline:
                break
            for side in (self.client, self.server):  # a side that paces its sending waits for its timer
                due = side.get_timer()
                if due is not None and due <= now:
                    side.handle_timer(now=now)
        return sum(size == len(BODY) for size in received.values())


def _measure(library: str, files: certs.CertificateFiles, requests: int, turns: int) -> dict[str, Any]:
    version = importlib.import_module(library).__version__
    row: dict[str, Any] = {"what": library, "version": version, "requests": requests}
    before = rss_kb(os.getpid())
    open_pairs = [Pair(library, files) for _ in range(OPEN_PAIRS)]
    answered = sum(pair.request(1) for pair in open_pairs)
    row["kb_a_pair"] = (rss_kb(os.getpid()) - before) / OPEN_PAIRS
    del open_pairs
    for streams in (1, 100):
        best = float("inf")
        for _ in range(turns):
            pair = Pair(library, files)
            pair.request(10)
            started_s = time.process_time()
            for _ in range(requests // streams):
                answered += pair.request(streams)
            best = min(best, (time.process_time() - started_s) / (requests // streams * streams))
        row[f"us_{streams}"] = best * 1e6
    started_s = time.process_time()
    for _ in range(50):
        Pair(library, files)
    row["handshake_us"] = (time.process_time() - started_s) / 50 * 1e6
    sent = OPEN_PAIRS + turns * sum(requests // streams * streams for streams in (1, 100))
    row["unanswered"] = sent - answered
    return row


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command.

    :returns: the rows of `--json`.
    """
    rows = []
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as folder:
        files = certs.make(Path(folder) / "certs")
        for library in LIBRARIES:
            try:
                row = _measure(library, files, args.requests, args.turns)
            except ModuleNotFoundError as problem:
                print(f"{library}: {problem.name} is not installed (pip install {library})", flush=True)
                continue
            rows.append(row)
            print(
                f"{library} {row['version']}: {row['us_1']:.0f} us per request one at a time, "
                f"{row['us_100']:.0f} us with 100 at a time, both sides; "
                f"handshake {row['handshake_us']:.0f} us; "
                f"{row['kb_a_pair']:.0f} KB per pair of connections; {row['unanswered']} unanswered",
                flush=True,
            )
    return rows
