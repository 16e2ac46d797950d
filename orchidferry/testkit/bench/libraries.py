"""`orchidferry bench libraries`: QUIC libraries without sockets: CPU a request, memory a connection.

aioquic and its fork qh3 have the same core without sockets: one script drives either, with a client and
a server in one process that hand each other their datagrams. A library that is not installed is left out,
and a line says so.
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
HELD = 200  # connections, for the memory of one
WAIT_S = 2.0  # for all answers to one asking
MAX_ROUNDS = 10_000  # datagram exchanges in one request: more means that it hangs
MORE = {"max_datagram_frame_size": 65536}  # qh3 offers HTTP datagrams, and closes without it
ADDRESSES = (("127.0.0.1", 1), ("127.0.0.1", 2))


class Pair:
    """A client's and a server's connection of one library, joined without a network."""

    def __init__(self, library: str, files: certs.CertificateFiles) -> None:
        def part(name: str) -> Any:
            return importlib.import_module(f"{library}.{name}")

        configuration = part("quic.configuration").QuicConfiguration
        connection = part("quic.connection").QuicConnection
        self._h3 = part("h3.connection").H3Connection
        self._events = part("h3.events")
        mine = configuration(is_client=True, alpn_protocols=["h3"], server_name=certs.SERVER_NAME, **MORE)
        mine.load_verify_locations(str(files.ca))
        theirs = configuration(is_client=False, alpn_protocols=["h3"], **MORE)
        theirs.load_cert_chain(str(files.certificate), str(files.key))
        self.client = connection(configuration=mine)
        self.client.connect(ADDRESSES[1], now=time.monotonic())
        self.server = connection(
            configuration=theirs,
            original_destination_connection_id=self.client.original_destination_connection_id,
        )
        self._http: list[Any] = []
        self._move()
        self._http = [self._h3(self.client), self._h3(self.server)]
        self._move()

    def _move(self) -> list[Any]:
        """Hand datagrams over until both are quiet; the HTTP events that the client saw."""
        seen: list[Any] = []
        for _ in range(MAX_ROUNDS):
            moved = False
            for side, (source, sink, sender) in enumerate(
                ((self.client, self.server, ADDRESSES[0]), (self.server, self.client, ADDRESSES[1]))
            ):
                now = time.monotonic()
                for data, _ in source.datagrams_to_send(now=now):
                    sink.receive_datagram(data, sender, now=now)
                    moved = True
                while self._http and (event := sink.next_event()) is not None:
                    for found in self._http[1 - side].handle_event(event):
                        if side == 1:
                            seen.append(found)
                        elif isinstance(found, self._events.HeadersReceived):
                            self._answer(found.stream_id)
                            moved = True
            if not moved:
                return seen
        raise RuntimeError("the two never came to rest")

    def _answer(self, stream: int) -> None:
        headers = [(b":status", b"200"), (b"content-length", b"%d" % len(BODY))]
        self._http[1].send_headers(stream, headers)
        self._http[1].send_data(stream, BODY, end_stream=True)

    def ask(self, count: int) -> int:
        """So many requests at once; how many were answered whole."""
        got: dict[int, int] = {}  # bytes, by stream
        deadline = time.monotonic() + WAIT_S
        for _ in range(count):
            stream = self.client.get_next_available_stream_id()
            got[stream] = 0
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
            for event in self._move():
                if isinstance(event, self._events.DataReceived) and event.stream_id in got:
                    got[event.stream_id] += len(event.data)
            now = time.monotonic()
            if all(size == len(BODY) for size in got.values()) or now > deadline:
                break
            for side in (self.client, self.server):  # one paces what it sends
                due = side.get_timer()
                if due is not None and due <= now:
                    side.handle_timer(now=now)
        return sum(size == len(BODY) for size in got.values())


def _measure(library: str, files: certs.CertificateFiles, requests: int, turns: int) -> dict[str, Any]:
    version = importlib.import_module(library).__version__
    row: dict[str, Any] = {"what": library, "version": version, "requests": requests}
    before = rss_kb(os.getpid())
    held = [Pair(library, files) for _ in range(HELD)]
    answered = sum(pair.ask(1) for pair in held)
    row["kb_a_pair"] = (rss_kb(os.getpid()) - before) / HELD
    del held
    for streams in (1, 100):
        best = float("inf")
        for _ in range(turns):
            pair = Pair(library, files)
            pair.ask(10)
            began = time.process_time()
            for _ in range(requests // streams):
                answered += pair.ask(streams)
            best = min(best, (time.process_time() - began) / (requests // streams * streams))
        row[f"us_{streams}"] = best * 1e6
    began = time.process_time()
    for _ in range(50):
        Pair(library, files)
    row["handshake_us"] = (time.process_time() - began) / 50 * 1e6
    wanted = HELD + turns * sum(requests // streams * streams for streams in (1, 100))
    row["unanswered"] = wanted - answered
    return row


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
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
                f"{library} {row['version']}: {row['us_1']:.0f} us a request one at a time, "
                f"{row['us_100']:.0f} us by a hundred, both sides; a handshake {row['handshake_us']:.0f} us; "
                f"{row['kb_a_pair']:.0f} KB a pair of connections; {row['unanswered']} unanswered",
                flush=True,
            )
    return rows
