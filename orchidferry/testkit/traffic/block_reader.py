"""Converts blocks of access logs to rows of a recording, in worker processes.

A block is parsed all at once where the log format and the block allow it (the fast path); other lines are
parsed one by one (the slow path), with the same rows as the result.
"""

from __future__ import annotations

import gc
import hashlib
import itertools
import re
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any
from zoneinfo import ZoneInfo

import numpy as np

from orchidferry.testkit.traffic.entry import (
    EARLIEST,
    LATEST,
    MAX_SECONDS,
    MAX_TEXT,
    Entry,
    EntryError,
)
from orchidferry.testkit.traffic.formats import Layout, Parser, compile_format, layout_of
from orchidferry.testkit.traffic.import_plan import Plan
from orchidferry.testkit.traffic.log_values import address_of, clf_time, split_request, unescaped
from orchidferry.testkit.traffic.recording import Rows
from orchidferry.testkit.traffic.row_columns import ClockJump, Columns, FastRows
from orchidferry.testkit.traffic.sources import MAX_LINE, Block

MAX_CACHED = 10_000  # entries of each cache of a worker process: requests, clients, hashes
NUMBER = re.compile(rb"\d{1,15}(?:\.\d{1,9})?")
MAX_SIZE_DIGITS = 15  # digits of a logged number of bytes
NEWLINE = 10  # code of the line feed
# Kinds of hashes: the same text has different hashes as a client and as an object
CLIENT = 0
OBJECT = 1

Array = np.ndarray[Any, Any]


@dataclass
class BlockRows:
    """The rows of a block, its rejected lines, and observations for the report."""

    rows: Rows
    rejects: list[tuple[int, str]]  # line number and reason
    shapes: dict[str, int]  # number of requests in no class, by method, NUL and path
    # Logged end of the first and the last request (seconds since 1970), to detect clock jumps between blocks
    first_s: float
    last_s: float
    clock_jumps: list[ClockJump]


_reader: BlockReader | None = None  # the reader of this worker process


class Memo(dict[Any, Any]):
    """Caches the results of a function for up to `MAX_CACHED` arguments; then the cache is cleared."""

    def __init__(self, function: Callable[[Any], Any]) -> None:
        super().__init__()
        self._function = function

    def __missing__(self, key: Any) -> Any:
        if len(self) >= MAX_CACHED:
            self.clear()
        found = self[key] = self._function(key)
        return found


def _clf(text: bytes) -> float:
    """Parse a time of the Common Log Format; 0.0 for other texts."""
    try:
        return clf_time(text.decode())
    except (ValueError, EntryError):
        return 0.0


def _floats(texts: Sequence[bytes]) -> Array:
    """Parse numbers in plain digits; -1 for other texts, including other forms that `float` accepts.

    Those forms are left to the slow path.
    """
    try:
        if not b"".join(texts).translate(None, b"0123456789."):
            return np.array(list(map(float, texts)))
    except ValueError:
        pass  # at least one text is not a number
    return np.array([float(one) if NUMBER.fullmatch(one) else -1.0 for one in texts])


def _size(text: bytes) -> int:
    """Parse a number of bytes; `-` is 0, and any other text is -1."""
    if text.isdigit() and len(text) <= MAX_SIZE_DIGITS:
        return int(text)
    return 0 if text == b"-" else -1


def _match_lines(layout: Layout, data: bytes) -> list[Any] | None:
    """Match the pattern of a layout with each line.

    :returns: the groups of each line; None if a line is too long, or there is not one match for each line.
    """
    ends = np.flatnonzero(np.frombuffer(data, np.uint8) == NEWLINE)
    if np.diff(ends, prepend=-1, append=len(data)).max() > MAX_LINE:
        return None
    found = layout.pattern.findall(data)
    return found if len(found) == len(ends) + 1 else None


class BlockReader:
    """Converts entries to rows, and whole blocks at once if the format has a layout (see `Layout`).

    :param plan: of the import.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.zone = ZoneInfo(plan.zone)
        self.parse: Parser = compile_format(plan.form, self.zone)
        self.layout = layout_of(plan.form, plan.classes.wanted_fields())
        self.class_numbers = {rule.name: at for at, rule in enumerate(plan.classes.rules)}
        self._hashes: dict[tuple[int, str], int] = {}
        self._requests = Memo(self._request)
        self._clients = Memo(self._client)
        self._statuses = Memo(
            lambda text: int(text) if text.isdigit() and 100 <= int(text[:4]) <= 999 else -1
        )
        self._times = Memo(_clf)

    def hash(self, kind: int, text: str) -> int:
        """:returns: the keyed 64-bit hash of a client or an object; 0 for an empty text."""
        if not text:
            return 0
        key = kind, text
        found = self._hashes.get(key)
        if found is None:
            data = hashlib.blake2b(
                text.encode("utf-8", "replace"), digest_size=8, key=self.plan.key, person=b"%d" % kind
            ).digest()
            found = int.from_bytes(data, "big") or 1
            if len(self._hashes) > MAX_CACHED:
                self._hashes.clear()
            self._hashes[key] = found
        return found

    def classify(self, method: str, target: str) -> tuple[int, int, str]:
        """Find the class of a request.

        :returns: the number of its class, the hash of its object, and, if no class matches, its method and
            path, separated by NUL; otherwise an empty text.
        """
        path = target.partition("?")[0]
        rule = self.plan.classes.match(method, path)
        number = len(self.class_numbers) if rule is None else self.class_numbers[rule.name]
        return number, self.hash(OBJECT, target), "" if rule is not None else f"{method}\0{path[:1024]}"

    def add(self, columns: Columns, shapes: Counter[str], line: int, entry: Entry) -> None:
        """Add the row of an entry.

        :param columns: the row is appended to them.
        :param shapes: counts the requests that are in no class.
        :param line: number of the entry in its file.
        """
        cls, object_hash, shape = self.classify(entry.method, entry.target)
        if shape:
            shapes[shape] += 1
        columns.t.append(entry.start)
        columns.resolution_s.append(entry.resolution_s)
        columns.took.append(-1.0 if entry.took_s is None else entry.took_s)
        columns.client.append(self.hash(CLIENT, self.plan.classes.client_of(entry)))
        columns.object.append(object_hash)
        columns.sent.append(entry.sent)
        columns.received.append(entry.received)
        columns.cls.append(cls)
        columns.status.append(entry.status)
        columns.aborted.append(entry.aborted)
        columns.line.append(line)

    def _request(self, text: bytes) -> tuple[int, int, str]:
        """Classify a request line, as `classify` does; the class is -1 if the line needs the slow path."""
        try:
            return self.classify(*split_request(unescaped(text.decode())))
        except (ValueError, EntryError):
            return -1, 0, ""

    def _client(self, pair: tuple[bytes, bytes]) -> int:
        """:returns: the hash of a client, from its address and agent; -1 if the line needs the slow path."""
        try:
            address, agent = (part.decode() for part in pair)
        except ValueError:
            return -1
        agent = "" if agent == "-" else unescaped(agent)[:MAX_TEXT]
        entry = Entry(0.0, None, "", "", 0, 0, 0, address_of(unescaped(address)), agent)
        return self.hash(CLIENT, self.plan.classes.client_of(entry))

    def add_block(
        self, columns: Columns, shapes: Counter[str], block: Block
    ) -> list[tuple[int, bytes]] | None:
        """Convert the lines of a block to rows all at once (the fast path).

        The rows are the same as those that `add` makes from the entry of each line, in an eighth of the time:
        a pattern is matched in one pass over the block, and requests, clients and times are parsed only if
        they are not in a cache.

        :returns: number and text of the lines that must be parsed one by one; None if these are all lines.
        """
        layout = self.layout
        data = block.data
        if layout is None or block.dropped or data[:1] == b"#" or b"\n#" in data:
            return None
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n").removesuffix(b"\r")
        found = _match_lines(layout, data)
        if found is None:
            return None
        groups = list(zip(*found, strict=True))
        requests = [self._requests[line] for line in groups[layout.request]]
        numbers, objects, shape = zip(*requests, strict=True)
        agents = groups[layout.agent] if layout.agent >= 0 else itertools.repeat(b"")
        clients = [self._clients[one] for one in zip(groups[layout.address], agents, strict=False)]
        statuses = [self._statuses[one] for one in groups[layout.status]]
        start, usable = self._starts(layout, groups[layout.time])
        took = np.full(len(found), -1.0)
        if layout.took >= 0:
            took = _floats(groups[layout.took]) * layout.unit
            usable &= (took >= 0.0) & (took <= MAX_SECONDS)
        usable &= np.fromiter(map(len, groups[-1]), np.int64, len(found)) == 0
        sent = list(map(_size, groups[layout.sent]))
        class_column, status_column, sent_column = (
            np.array(one, np.int64) for one in (numbers, statuses, sent)
        )
        object_column = np.array(objects, np.uint64)
        client_column = np.array(clients, np.object_)
        identified = np.not_equal(client_column, -1).astype(np.bool_)
        usable &= (class_column >= 0) & (status_column >= 0) & (sent_column >= 0) & identified
        at = np.flatnonzero(usable)
        started = start - np.maximum(took, 0.0) if layout.logged_at_end else start
        columns.fast = FastRows(
            block.first + at,
            started[at],
            took[at],
            client_column[at].astype(np.uint64),
            object_column[at],
            sent_column[at],
            class_column[at],
            status_column[at],
            0.0 if layout.epoch else 1.0,
        )
        if any(shape):
            shapes.update(shape[n] for n in at.tolist() if shape[n])
        if len(at) == len(found):
            return []
        lines = data.split(b"\n")
        return [(block.first + int(n), lines[n]) for n in np.flatnonzero(~usable)]

    def _starts(self, layout: Layout, texts: Sequence[bytes]) -> tuple[Array, Array]:
        """Parse logged times.

        :returns: the times, and a mask of those that need no slow path.
        """
        if layout.epoch:  # whole seconds take the slow path, which finds the resolution of the time
            start = _floats(texts)
            return start, (start >= EARLIEST) & (start <= LATEST) & (start % 1.0 != 0.0)
        start = np.array([self._times[one] for one in texts])
        return start, start >= EARLIEST

    def finish(
        self,
        columns: Columns,
        shapes: Counter[str],
        rejects: list[tuple[int, str]],
        at: tuple[int, int],
        shift_s: float,
    ) -> BlockRows:
        """Make the rows of a block.

        :param at: number of the file, and number of the block's first line.
        :param shift_s: added to all times.
        """
        timed = columns.rows(shift_s, np.random.default_rng([self.plan.seed, *at]))
        ends = (0, -1) if len(columns.t) else ()
        first, last = [float(columns.t[n] + max(0.0, columns.took[n])) for n in ends] or [0.0, 0.0]
        return BlockRows(timed.rows, rejects, dict(shapes), first, last, timed.clock_jumps)


def start_worker(plan: Plan) -> None:
    """Prepare a worker process for `rows_of_lines` and `rows_of_entries`.

    :param plan: of the import.
    """
    global _reader
    gc.disable()  # no reference cycles arise here, and a block allocates a hundred thousand tuples
    _reader = BlockReader(plan)


def rows_of_lines(file: int, block: Block, shift_s: float) -> BlockRows:
    """Convert a block of log lines to rows.

    :param file: number of the file in the plan.
    :param block: the lines.
    :param shift_s: added to all times.
    """
    assert _reader is not None
    columns = Columns()
    shapes = Counter[str]()
    rejects = list[tuple[int, str]]()
    rest: Iterable[tuple[int, bytes | None]] | None = _reader.add_block(columns, shapes, block)
    for number, line in enumerate(block.lines, block.first) if rest is None else rest:
        if line is None:
            rejects.append((number, "a line that is too long"))
            continue
        if not line or line[:1] == b"#":
            continue  # an empty line, or a comment such as the directives of a W3C extended log
        try:
            _reader.add(columns, shapes, number, _reader.parse(line))
        except EntryError as reason:
            rejects.append((number, str(reason)))
    return _reader.finish(columns, shapes, rejects, (file, block.first), shift_s)


def rows_of_entries(file: int, first: int, entries: list[Entry | str], shift_s: float) -> BlockRows:
    """Convert entries of a HAR to rows.

    :param file: number of the file in the plan.
    :param first: number of the first entry in the file.
    :param entries: the entries; a text is the reason why an entry was rejected.
    :param shift_s: added to all times.
    """
    assert _reader is not None
    columns = Columns()
    shapes = Counter[str]()
    rejects = list[tuple[int, str]]()
    for number, entry in enumerate(entries, first):
        if isinstance(entry, str):
            rejects.append((number, entry))
            continue
        # A HAR is of one browser: if an entry does not identify its client, the file does.
        known = _reader.plan.classes.client_of(entry)
        _reader.add(columns, shapes, number, entry if known else replace(entry, address=f"file {file}"))
    return _reader.finish(columns, shapes, rejects, (file, first), shift_s)
