"""Import of logs and HARs, the format of recordings, and export: content, reports and leftover files."""

from __future__ import annotations

import json
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from backports import zstd
from hypothesis import Phase, given, settings, strategies

from orchidferry.testkit import cli
from orchidferry.testkit.traffic import block_reader, export, generate, importing, row_columns, sorted_runs
from orchidferry.testkit.traffic.classes import read_classes
from orchidferry.testkit.traffic.importing import Plan, Report, TooManyRejectedError, import_files
from orchidferry.testkit.traffic.recording import (
    ABORTED,
    END,
    MAX_BYTES,
    NO_TIME,
    ROW,
    SPREAD,
    Header,
    Reader,
    RecordingError,
    Rows,
    Writer,
)
from orchidferry.testkit.traffic.retries import RetryMatcher
from orchidferry.testkit.traffic.sources import Block
from orchidferry.testkit.traffic.totals import read_summary

CLASSES = read_classes(generate.CLASSES.encode())
RATE = 15.0
SECONDS = 90.0
GENERATED = list(generate.requests(RATE, SECONDS, 3, clients=400, objects=200))


def import_logs(
    tmp_path: Path, *files: tuple[str, bytes], form: str = generate.LOG_FORMAT, **changes: Any
) -> tuple[Report, Rows]:
    """Import files with these names and contents.

    :param form: the log format.
    :param changes: fields of the plan.
    :returns: the report, and all rows of the recording.
    """
    paths = []
    for name, data in files:
        paths.append(tmp_path / name)
        paths[-1].write_bytes(data)
    to = tmp_path / "a.rec"
    plan = Plan(tuple(paths), form, CLASSES, **({"workers": 2} | changes))
    report = import_files(plan, to, tmp_path / "rejects")
    return report, np.concatenate(list(Reader(to).blocks()))


def log(requests: list[generate.GeneratedRequest] = GENERATED) -> bytes:
    return b"".join(generate.log_lines(iter(requests)))


def start_ms(request: generate.GeneratedRequest, form: str) -> int:
    """The start of a request (milliseconds since 1970) as the log or the HAR gives it."""
    if form == "har":
        return int((generate.START_TIME_S + request.t) * 1e3)
    return round(
        1e3 * (round(generate.START_TIME_S + request.t + request.took_s, 3) - round(request.took_s, 3))
    )


@pytest.mark.parametrize("form", ["log", "har"])
def test_a_recording_has_the_classes_times_and_retries_of_the_generated_traffic(
    form: str, tmp_path: Path
) -> None:
    data = log() if form == "log" else b"".join(generate.har(iter(GENERATED)))
    classes = (
        CLASSES
        if form == "log"
        else read_classes(generate.CLASSES.encode() + b'[identity]\nfrom = ["cookie:sid"]\n')
    )
    (tmp_path / "x").write_bytes(zstd.compress(data))
    report = import_files(
        Plan((tmp_path / "x",), generate.LOG_FORMAT, classes, workers=2),
        tmp_path / "a.rec",
        tmp_path / "rejects",
    )
    rows = np.concatenate(list(Reader(tmp_path / "a.rec").blocks()))
    assert len(rows) == len(GENERATED) == report.rows and not report.rejects
    assert report.mix == Counter(one.cls for one in GENERATED)
    expected_s = sorted(one.t - GENERATED[0].t for one in GENERATED)
    assert np.abs(rows["t"] / 1e6 - np.array(expected_s)).max() < 0.004
    assert (rows["sent"].sum(), report.seconds > SECONDS * 0.9) == (sum(one.sent for one in GENERATED), True)
    # Retries: a first attempt is identified by the millisecond at which it was logged.
    starts_ms = [start_ms(one, form) for one in GENERATED]
    first_ms = min(starts_ms)
    roots = {one.root: at - first_ms for one, at in zip(GENERATED, starts_ms, strict=True) if one.number == 0}
    expected = Counter((roots[one.root], one.number) for one in GENERATED if one.number)
    chains = rows["chain"].tolist()
    numbers = rows["number"].tolist()
    matched = Counter(
        (round(int(rows["t"][chain]) / 1e3), number)
        for chain, number in zip(chains, numbers, strict=True)
        if number
    )
    assert sum(expected.values()) > 50
    correct = sum((matched & expected).values())
    assert (
        correct >= 0.99 * sum(expected.values())
        and sum(matched.values()) <= 1.01 * sum(expected.values()) + 1
    )


def test_random_fractions_are_added_to_whole_seconds_and_reported(tmp_path: Path) -> None:
    plain = log().replace(b" 12:", b" 12:")
    lines = [line.rpartition(b" ")[0] + b"\n" for line in plain.splitlines()]  # without $msec
    form = generate.LOG_FORMAT.rpartition(" ")[0]
    found = []
    for seed, folder in ((1, "a"), (1, "b"), (2, "c")):
        (tmp_path / folder).mkdir()
        report, rows = import_logs(tmp_path / folder, ("x", b"".join(lines)), form=form, seed=seed)
        assert report.spread == len(GENERATED)
        found.append(rows["t"].copy())
    assert (found[0] == found[1]).all() and (found[0] != found[2]).any()
    assert np.unique(found[0] % 1_000_000).size > len(GENERATED) * 0.9


def test_recordings_and_rejects_contain_no_personal_data(tmp_path: Path) -> None:
    bad = b"10.9.8.7 secret=hunter2 what is this\n" + b"x" * 70_000 + b"\n\xff\xfe\n# a comment\n\n"
    report, _ = import_logs(tmp_path, ("access.log", log() + bad), share=0.5)
    assert report.rejects == {"not in this format": 2, "a line that is too long": 1}
    rejects = [json.loads(line) for line in (tmp_path / "rejects").read_text().splitlines()]
    lines = len(GENERATED)
    assert [one["line"] for one in rejects] == [lines + 1, lines + 2, lines + 3]
    everything = zstd.decompress((tmp_path / "a.rec").read_bytes()) + (tmp_path / "rejects").read_bytes()
    for personal in (b"hunter2", b"10.9.8.7", b"Castbox", b"/feeds/", b"/episodios", b"page="):
        assert personal not in everything
    assert not list(tmp_path.glob("*.part")) and not list(tmp_path.glob("orchidferry-import-*"))


def test_an_import_with_too_many_rejects_fails_and_leaves_no_recording(tmp_path: Path) -> None:
    for data in (log() + b"nothing\n" * len(GENERATED), b""):
        with pytest.raises(TooManyRejectedError, match="can't be read"):
            import_logs(tmp_path, ("x", data))
        assert not (tmp_path / "a.rec").exists() and not list(tmp_path.glob("*.part"))


def test_files_out_of_order_gaps_clock_jumps_and_shifted_clocks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sorted_runs, "RUN_ROWS", 300)  # many sorted runs to merge
    early = [one for one in GENERATED if one.t < 40.0]
    late = [one for one in GENERATED if one.t >= 60.0]
    monkeypatch.setattr(importing, "GAP_S", 15.0)
    monkeypatch.setattr(row_columns, "JUMP_S", 15.0)
    _, whole = import_logs(tmp_path, ("x", log(early + late)))
    report, rows = import_logs(tmp_path, ("b", log(late)), ("a", log(early)))
    assert (rows["t"] == whole["t"]).all() and (rows["number"] == whole["number"]).all()
    assert [note for note in report.notes if note.startswith("nothing for 2")]
    report, _ = import_logs(tmp_path, ("x", log(late) + log(early)))
    assert any("x: line" in note and "time goes back by" in note for note in report.notes)
    _, shifted = import_logs(tmp_path, ("b", log(late)), ("a", log(early)), shifts=(("b", -20.0),))
    assert shifted["t"][-1] == whole["t"][-1] - 20_000_000


def rows_of(*made: tuple[float, int, int, int, int]) -> Rows:
    """Make rows from start and duration in seconds (-1: unknown), client, object and status."""
    found = np.zeros(len(made), ROW)
    for at, (t, took, client, object_hash, status) in enumerate(made):
        found[at]["t"] = int(t * 1e6)
        found[at]["client"] = client
        found[at]["object"] = object_hash
        found[at]["took"] = NO_TIME if took < 0 else int(took * 1e6)
        found[at]["status"] = status
    return found


@pytest.mark.parametrize(
    "made, numbers",
    [
        ([(0, 1, 1, 1, 503), (2, 1, 1, 1, 503), (5, 1, 1, 1, 200), (7, 1, 1, 1, 200)], [0, 1, 2, 0]),
        ([(0, 1, 1, 1, 200), (2, 1, 1, 1, 200)], [0, 0]),  # no retry: the first request succeeded
        (
            [(0, 1, 1, 1, 503), (2, 1, 2, 1, 200), (2, 1, 1, 2, 200)],
            [0, 0, 0],
        ),  # other client, other object
        ([(0, 1, 0, 1, 503), (2, 1, 0, 1, 200)], [0, 0]),  # unidentified clients
        ([(0, 1, 1, 1, 503), (40, 1, 1, 1, 200)], [0, 0]),  # after the window
        (
            [(0, 9, 1, 1, 0), (2, 1, 1, 1, 200), (9.5, 1, 1, 1, 200)],
            [0, 0, 0],
        ),  # the second request starts before the end of the first
        ([(0, -1, 1, 1, 499), (2, 1, 1, 1, 200)], [0, 1]),
        ([(0, 1, 1, 1, 429), (2, 1, 1, 1, 404)], [0, 1]),
    ],
)
def test_retries_are_matched_also_across_slices(made: Any, numbers: list[int]) -> None:
    rows = rows_of(*made)
    for cut in range(len(rows) + 1):
        matcher = RetryMatcher()
        found = np.concatenate([matcher.match(rows[:cut]), matcher.match(rows[cut:])])
        assert found["number"].tolist() == numbers, cut
        assert [int(found["chain"][at]) for at in range(len(rows)) if not numbers[at]] == [
            at for at in range(len(rows)) if not numbers[at]
        ]
    assert matcher.statistics.matches == sum(number > 0 for number in numbers)


# The file format of recordings


ROWS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2**40), strategies.integers(0, 2**64 - 1), strategies.integers(0, 999)
    ),
    max_size=50,
)


def write(path: Path, rows: Rows) -> bytes:
    writer = Writer(path, Header([{"name": "a"}], len(rows)))
    writer.put(rows)
    writer.close()
    return path.read_bytes()


@settings(max_examples=50, deadline=None)
@given(ROWS)
def test_rows_are_read_as_written_and_damage_is_detected(tmp_path_factory: Any, made: list[Any]) -> None:
    path = tmp_path_factory.mktemp("rec") / "a.rec"
    rows = np.zeros(len(made), ROW)
    rows["t"], rows["client"], rows["status"] = (
        np.array(sorted(one[0] for one in made), np.uint64),
        np.array([one[1] for one in made], np.uint64),
        [one[2] for one in made],
    )
    data = write(path, rows)
    blocks = list(Reader(path).blocks())
    assert (np.concatenate(blocks) if blocks else np.zeros(0, ROW)).tobytes() == rows.tobytes()
    plain = zstd.decompress(data)
    at = plain.index(b"\n", plain.index(b"\n") + 1) + 1
    damaged = [
        data[:-9],
        data[: len(data) // 2],
        zstd.compress(plain[:-40]),
        b"",
        b"x" * 99,
        plain,
        zstd.compress(plain.replace(b"recording 1", b"recording 2")),
        zstd.compress(plain[:at] + bytes([plain[at] ^ 1]) + plain[at + 1 :]),
    ]
    for content in damaged:
        path.write_bytes(content)
        with pytest.raises(RecordingError, match=r"a\.rec"):
            list(Reader(path).blocks())


def test_a_time_range_can_be_read_and_rows_out_of_order_are_rejected(tmp_path: Path) -> None:
    rows = rows_of(*[(t, 1, 1, 1, 200) for t in range(10)])
    write(tmp_path / "a.rec", rows)
    part = np.concatenate(list(Reader(tmp_path / "a.rec").blocks(2.0, 5.0)))
    assert part["t"].tolist() == [2_000_000, 3_000_000, 4_000_000]
    writer = Writer(tmp_path / "b.rec", Header([{"name": "a"}]))
    with pytest.raises(ValueError, match="out of order"):
        writer.put(rows[::-1])
    writer.discard()
    assert not list(tmp_path.glob("b*")) and int(rows["t"].max()) < END


# The commands


def run_command(monkeypatch: pytest.MonkeyPatch, capsys: Any, *args: str) -> tuple[int, str, str]:
    monkeypatch.setattr("sys.argv", ["orchidferry", "traffic", *args])
    try:
        code = cli.main()
    except SystemExit as ended:
        code = int(ended.code or 0)
    out, err = capsys.readouterr()
    return code, out, err


def test_commands_generate_import_and_show_and_their_errors(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = str(tmp_path / "monday")
    rec = str(tmp_path / "a.rec")
    code, out, _ = run_command(monkeypatch, capsys, "generate", folder, "--rate", "10", "--seconds", "30")
    assert code == 0 and generate.LOG_FORMAT in out
    import_args = (
        "import",
        f"{folder}/access.log",
        "--format",
        generate.LOG_FORMAT,
        "--to",
        rec,
        "--workers",
        "2",
    )
    code, out, _ = run_command(monkeypatch, capsys, *import_args, "--json", str(tmp_path / "j"))
    assert code == 0 and "no --classes: proposed in" in out
    found = json.loads((tmp_path / "j").read_text())
    assert set(found["mix"]) == {"get-feeds", "put-episodios", "post-repasses"} and found["rejected"] == 0
    code, out, _ = run_command(monkeypatch, capsys, "show", rec)
    assert code == 0 and "get-feeds" in out and f"{found['requests']} requests" in out
    code, out, _ = run_command(monkeypatch, capsys, "show", rec, "--json")
    shown = json.loads(out)
    assert sum(shown["per_second"]) == found["requests"] == read_summary(Path(rec))["requests"]
    assert 0 < shown["gaps_ms"]["p50"] < shown["gaps_ms"]["p99"]
    bad = str(tmp_path / "c.toml")
    Path(bad).write_text("x = 1")
    for args, message in (
        ((*import_args, "--classes", bad), f"{bad}: 'x' is not known"),
        ((*import_args, "--zone", "Nowhere"), "is no time zone"),
        ((*import_args, "--shift", "x=1"), "is none of the files"),
        ((*import_args, "--shift", "x"), "is not FILE=SECONDS"),
        ((*import_args, "--rejects-share", "2"), "not within"),
        ((*import_args, "--window", "0"), "not within"),
        ((*import_args[:2], "--to", rec, "--format", "%t"), "lacks request"),
        (("import", folder + "/none", "--to", rec), "No such file"),
        (("show", bad), "is no recording"),
        (("generate", folder, "--rate", "0"), "--rate must be"),
    ):
        code, _, err = run_command(monkeypatch, capsys, *args)
        assert code == 2 and message in err and err.count("\n") == 1, (args, err)
    code, _, err = run_command(
        monkeypatch, capsys, *import_args[:2], "--to", rec, "--classes", folder + "/classes.toml"
    )
    assert code == 1 and "not in this format" in err


APACHE = '%a %t "%r" %>s %b %D'
NGINX = '$remote_addr [$time_local] "$request" $status $body_bytes_sent $request_time'
FAST_FORMATS = ["common", "combined", generate.LOG_FORMAT, APACHE, NGINX]
VALID_LINES = [
    b'10.0.0.7 - ana [10/Oct/2026:08:55:36 -0300] "GET /feeds/7?x=1 HTTP/1.1" 200 512',
    b'2001:db8::1 - - [10/Oct/2026:08:55:36 -0300] "PUT /episodios/7 HTTP/1.1" 503 0 "-" "a \\"b\\" \\x22"',
    b'1.2.3.4 [10/Oct/2026:08:55:36 +0000] "GET / HTTP/1.1" 499 - 0.125',
    *log().splitlines()[:2],
]
FRAGMENTS = strategies.sampled_from([b"", b"-", b" ", b'"', b"9", b".5", b"\\", b"\xff", b"1e9", b"+1", b"_"])
CHANGED_LINES = strategies.tuples(
    strategies.sampled_from(VALID_LINES), strategies.integers(0, 150), strategies.integers(0, 5), FRAGMENTS
).map(lambda t: t[0][: t[1]] + t[3] + t[0][t[1] + t[2] :])


EXPORTED = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 10**10),
        strategies.sampled_from([0, 1, 2, 2**64 - 1]),
        strategies.sampled_from([1, 2, 2**63]),
        strategies.sampled_from([0, 1, 200_000, NO_TIME]),
        strategies.sampled_from([0, 200, 429, 499, 503]),
        strategies.integers(0, 1),
        strategies.sampled_from([0, ABORTED, SPREAD, ABORTED | SPREAD]),
        strategies.integers(0, MAX_BYTES),
    ),
    min_size=1,
    max_size=30,
)


@settings(
    max_examples=25, deadline=None, phases=[Phase.explicit, Phase.generate]
)  # no shrinking: each example starts a process
@given(EXPORTED)
def test_import_of_an_exported_recording_gives_the_same_recording(made: list[tuple[int, ...]]) -> None:
    rows = np.zeros(len(made), ROW)
    names = ("t", "client", "object", "took", "status", "cls", "flags", "sent")
    for name, values in zip(names, zip(*made, strict=True), strict=True):
        rows[name] = values
    rows["object"] += 8 * rows["cls"]  # the hash of a target, which belongs to one class
    # Status 0 or 499 and the flag both mean that the client aborted; a recording has the flag in both cases.
    rows["flags"] |= np.where(np.isin(rows["status"], (0, 499)), ABORTED, 0).astype(np.uint8)
    rows["t"] -= rows["t"].min()
    rows = RetryMatcher(30.0).match(rows[np.argsort(rows["t"], kind="stable")])
    header = Header([{"name": "a", "repeat": "safe"}, {"name": "b", "repeat": "unsafe"}])
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "log"
        to = Path(name) / "x.rec"
        path.write_bytes(b"".join(export.lines(header, iter([rows]))))
        classes = read_classes(export.classes_text(header).encode())
        import_files(Plan((path,), export.LOG_FORMAT, classes, workers=1, seed=3), to, Path(name) / "rejects")
        imported = np.concatenate(list(Reader(to).blocks()))
    assert export.first_difference(rows, imported) == ""


@settings(max_examples=300, deadline=None)
@given(strategies.sampled_from(FAST_FORMATS), strategies.lists(CHANGED_LINES, max_size=5))
def test_the_fast_path_gives_the_same_rows_as_the_slow_path(form: str, lines: list[bytes]) -> None:
    plan = Plan((), form, CLASSES, key=b"k")
    block = Block(1, b"\n".join(lines), len(lines))
    found = []
    for fast in (True, False):
        block_reader.start_worker(plan)
        assert block_reader._reader is not None and block_reader._reader.layout is not None
        if not fast:
            block_reader._reader.layout = None
        made = block_reader.rows_of_lines(0, block, 0.0)
        found.append((made.rows.tobytes(), made.rejects, made.shapes, made.clock_jumps))
    assert found[0] == found[1]
