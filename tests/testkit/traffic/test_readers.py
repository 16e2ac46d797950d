"""Readers of logs and HAR files: every format, and input that is rejected."""

from __future__ import annotations

import gzip
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import pytest
from backports import zstd
from hypothesis import given, settings, strategies

from orchidferry.testkit.traffic.entry import Entry, EntryError
from orchidferry.testkit.traffic.formats import LogFormatError, compile_format
from orchidferry.testkit.traffic.har import entry_of, read_har
from orchidferry.testkit.traffic.sources import MAX_LINE, Source, SourceError

T0 = 1_791_633_336.0  # 2026-10-10 11:55:36 UTC
NGINX = (
    '$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer" '
    '"$http_user_agent" $request_time $http_x_client'
)
JSON = "json:start=ts,method=req.method,target=req.uri,status=st,took=ms:ms,address=ip,x-client=who"
CLF = '10.0.0.7 - ana [10/Oct/2026:08:55:36 -0300] "GET /feeds/7?x=1 HTTP/1.1" 200 512'
COMBINED = CLF + ' "-" "curl/8 \\"beta\\""'
ALB_LINE = (
    "https 2026-10-10T11:55:37.500000Z app/front/1 [2001:db8::1]:2817 10.0.0.1:80 0.000 1.500 "
    "-1 200 200 34 366 "
    '"GET https://front:443/feeds/7?x=1 HTTP/1.1" "curl/8 ""beta"""'
)

VALID: list[tuple[str, str, dict[str, Any]]] = [
    ("common", CLF, {"address": "10.0.0.7", "sent": 512, "took_s": None, "resolution_s": 1.0}),
    ("combined", COMBINED, {"agent": 'curl/8 "beta"'}),
    (
        "combined",
        COMBINED.replace('\\"', '"'),
        {"agent": 'curl/8 "beta"'},
    ),  # a server that does not escape quotes
    ("combined", COMBINED.replace("10.0.0.7", "2001:db8::7"), {"address": "2001:db8::7"}),
    (
        '%h %t "%r" %>s %b %D %{X-Client}i',
        CLF.replace(" - ana", "") + " 1500000 c9",
        {"took_s": 1.5, "fields": {"x-client": "c9"}},
    ),
    (
        "%{usec}t %m %U%q %s %B %{ms}T %v",
        "1791633336000000 GET /feeds/7?x=1 200 512 1500 front",
        {"took_s": 1.5, "host": "front", "resolution_s": 0.0},
    ),
    (
        NGINX,
        CLF.replace(":36 ", ":37 ") + ' "-" "curl" 1.000 c9',
        {"took_s": 1.0, "fields": {"x-client": "c9"}},
    ),
    (
        "$msec|$request_method|$request_uri|$status|$body_bytes_sent|$request_time",
        "1791633337.500|GET|/feeds/7?x=1|200|512|1.500",
        {"took_s": 1.5, "resolution_s": 0.0},
    ),
    (
        JSON,
        json.dumps(
            {
                "ts": "2026-10-10T08:55:36-03:00",
                "req": {"method": "get", "uri": "/feeds/7?x=1"},
                "st": 200,
                "ms": 1500,
                "ip": "10.0.0.7:99",
                "who": "c9",
            }
        ),
        {"took_s": 1.5, "address": "10.0.0.7", "fields": {"x-client": "c9"}},
    ),
    (
        JSON,
        json.dumps({"ts": T0 * 1e3, "req.method": "GET", "req.uri": "http://a.b/feeds/7?x=1#f", "st": "200"}),
        {"took_s": None, "resolution_s": 0.0},
    ),
    (
        "tab:end=1,took=2:ms,method=3,target=4,status=5",
        f"{T0 + 1.5}\t1500\tGET\t/feeds/7?x=1\t200",
        {"took_s": 1.5},
    ),
    ("alb", ALB_LINE, {"took_s": 1.5, "address": "2001:db8::1", "agent": 'curl/8 "beta"', "received": 34}),
]


@pytest.mark.parametrize("form, line, fields", VALID)
def test_every_format_gives_the_same_request(form: str, line: str, fields: dict[str, Any]) -> None:
    found = compile_format(form)(line.encode())
    assert (found.start, found.method, found.target, found.status) == (T0, "GET", "/feeds/7?x=1", 200)
    for name, value in fields.items():
        assert getattr(found, name) == value, name


REJECTED: list[tuple[str, str, str]] = [
    ("common", "", "not in this format"),
    ("common", CLF[:50], "not in this format"),
    ("common", CLF.replace("/Oct/", "/Okt/"), "a time that can't be read"),
    ("common", CLF.replace("08:55", "28:55"), "a time that can't be read"),
    ("common", CLF.replace("/2026:", "/1926:"), "a time out of range"),
    ("common", CLF.replace("GET /feeds/7?x=1 HTTP/1.1", "-"), "a request line that can't be read"),
    ("common", CLF.replace("GET /feeds", "\\x16\\x03 /feeds"), "no method"),
    ("common", CLF.replace("/feeds/7?x=1", "feeds"), "a target that is no path"),
    ("common", CLF.replace("/feeds/7", "/" + "a" * 9000), "a target that is too long"),
    ("common", CLF.replace(" 200 ", " 99 "), "a status out of range"),
    ("common", CLF.replace(" 200 ", " 2x0 "), "a number that can't be read"),
    # A path that contains quotes, so that it could be read as further fields of the line
    (
        "combined",
        COMBINED.replace("/feeds/7", '/a HTTP/1.1" 200 9 "-" "x'),
        "quotes that can be read in two ways",
    ),
    ("common", CLF + " extra", "a number that can't be read"),
    ("combined", CLF + ' "-" ' + '" "' * 20_000, "quotes that can be read in two ways"),
    (JSON, "{", "not JSON"),
    (JSON, "[1]", "JSON that is no object"),
    (JSON, '{"ts": true}', "no time"),
    (JSON, '{"ts": 1e999}', "a time out of range"),
    (JSON, '{"ts": "x"}', "a time that can't be read"),
    (JSON, '{"ts": 1791633336, "req": 7}', "a target that is no path"),
    (JSON, "[" * 100_000, "not JSON"),
    ("tab:start=1,target=3", "1791633336\tx", "too few columns"),
    ("json:start=a,request=b", '{"a": 1791633336, "b": 7}', "a request line that can't be read"),
    ("tab:start=1,target=2,took=3", "1791633336\t/a\t1e9", "a duration out of range"),
    ("tab:start=1,target=2,sent=3", "1791633336\t/a\t1e30", "a size out of range"),
    ("tab:start=1,target=2,sent=3", "1791633336\t/a\tnan", "a number that can't be read"),
]


@pytest.mark.parametrize("form, line, reason", REJECTED)
def test_a_rejected_line_has_a_reason(form: str, line: str, reason: str) -> None:
    with pytest.raises(EntryError) as problem:
        compile_format(form)(line.encode())
    assert str(problem.value) == reason


@pytest.mark.parametrize(
    "form, message",
    [
        ("", "names no field"),
        ("plain words", "names no field"),
        ("%h %b", "lacks end or start"),
        ("%t", "lacks request"),
        ("%{%Y}t %r", "only sec, msec and usec"),
        ("%t %r" + "%h " * 70, "fields, 64 at most"),
        ("x" * 5000, "characters"),
        ("json:", "is not KEY=FIELD"),
        ("json:start=a", "lacks request"),
        ("json:start=a:ms,target=b", "only took"),
        ("tab:start=a,target=2", "columns are numbers"),
        ("tab:start=0,target=2", "columns are numbers"),
    ],
)
def test_errors_of_formats_name_the_faulty_part(form: str, message: str) -> None:
    with pytest.raises(LogFormatError, match=message):
        compile_format(form)


def test_times_without_a_zone_are_in_the_given_zone() -> None:
    zone = ZoneInfo("America/Sao_Paulo")
    form = "tab:start=1,target=2"
    assert compile_format(form, zone)(b"2026-10-10 08:55:36\t/a").start == T0
    assert compile_format(form)(b"2026-10-10 11:55:36.25\t/a").start == T0 + 0.25


FORMS = [
    "common",
    "combined",
    NGINX,
    JSON,
    "alb",
    "tab:start=1,target=2,took=3:ms,x=4",
    '%t %r %q "%{a}i" %D',
]
PARSERS = [compile_format(form) for form in FORMS]
LINES = strategies.one_of(
    strategies.binary(max_size=300),
    strategies.tuples(
        strategies.sampled_from([line for _, line, _ in VALID]),
        strategies.integers(0, 200),
        strategies.integers(0, 30),
        strategies.binary(max_size=20),
    ).map(lambda t: t[0].encode()[: t[1]] + t[3] + t[0].encode()[t[1] + t[2] :]),
)


@settings(max_examples=300, deadline=None)
@given(LINES, strategies.sampled_from(PARSERS))
def test_any_bytes_give_a_valid_request_or_are_rejected(line: bytes, parse: Callable[[bytes], Entry]) -> None:
    try:
        found = parse(line)
    except EntryError as reason:
        assert str(reason)
        return
    assert found.target[0] in "/*" and found.method.isascii() and found.sent >= 0 <= found.received
    assert found.start > 9e8 - 1e5 and (found.took_s is None or 0.0 <= found.took_s <= 86_400.0)


# HAR


def har_entry(**changes: Any) -> dict[str, Any]:
    """An entry of a HAR; `changes` are values by key, as `KEY` or `KEY__KEY`."""
    made: dict[str, Any] = {
        "startedDateTime": "2026-10-10T08:55:36.000-03:00",
        "time": 1500.0,
        "_resourceType": "fetch",
        "request": {
            "method": "GET",
            "url": "https://u:p@front.example:8443/feeds/7?x=1#top",
            "bodySize": 0,
            "headers": [{"name": "User-Agent", "value": "Firefox"}, {"name": "X", "value": "9"}, 7],
            "cookies": [{"name": "sid", "value": "s1"}],
        },
        "response": {"status": 200, "bodySize": -1, "content": {"size": 512}},
    }
    for name, value in changes.items():
        part, _, key = name.partition("__")
        (made if not key else made[part])[key or part] = value
    return made


def test_a_har_entry_gives_the_same_request_with_only_the_wanted_fields() -> None:
    found = entry_of(har_entry(), frozenset({"sid"}))
    assert (found.start, found.target, found.took_s, found.sent) == (T0, "/feeds/7?x=1", 1.5, 512)
    assert (found.host, found.agent, found.fields) == ("front.example:8443", "Firefox", {"sid": "s1"})
    assert entry_of(har_entry()).fields is None
    aborted = entry_of(har_entry(response__status=0, time=-1, _error="net::ERR_ABORTED"))
    assert aborted.aborted and aborted.took_s is None and aborted.status == 0


@pytest.mark.parametrize(
    "changes, reason",
    [
        ({"request": 3}, "an entry without a request"),
        ({"request__url": None}, "an entry without a URL"),
        ({"request__url": "data:text/plain,x"}, "a URL that is not of HTTP"),
        ({"_webSocketMessages": []}, "a WebSocket, which is no request and answer"),
        ({"response__status": 101}, "a WebSocket, which is no request and answer"),
        ({"startedDateTime": "2026-10-10T08:55:36"}, "a time that can't be read"),
        ({"startedDateTime": 7}, "a time that can't be read"),
        ({"request__method": ""}, "no method"),
        ({"time": 1e12}, "a duration out of range"),
    ],
)
def test_a_rejected_har_entry_has_a_reason(changes: dict[str, Any], reason: str) -> None:
    with pytest.raises(EntryError) as problem:
        entry_of(har_entry(**changes))
    assert str(problem.value) == reason


def har(data: bytes, step: int = 7) -> list[Entry | EntryError]:
    return list(read_har(data[at : at + step] for at in range(0, len(data), step)))


def test_a_truncated_har_yields_its_complete_entries() -> None:
    complete = json.dumps(
        {"log": {"entries": [har_entry(), har_entry(request__url="about:blank"), har_entry()]}}
    )
    data = complete.encode()
    assert [type(one) for one in har(data)] == [Entry, EntryError, Entry]
    counts = set()
    for at in [*range(0, len(data) - 20, 13), *range(len(data) - 20, len(data) - 1)]:
        found = har(data[:at], 64)
        assert isinstance(found[-1], EntryError)
        counts.add(sum(isinstance(one, Entry) for one in found))
    assert counts == {0, 1, 2}
    for invalid in (b"", b"[]", b'{"log": {}}', b"\xff\xfe", b"[" * 100_000):
        [reject] = har(invalid, 1000)
        assert isinstance(reject, EntryError)


# Files


COMPRESS: dict[str, Callable[[bytes], bytes]] = {"plain": bytes, "gzip": gzip.compress, "zstd": zstd.compress}


def read(path: Path) -> tuple[list[bytes | None], str]:
    source = Source(path)
    lines = list[bytes | None]()
    for block in source.blocks():
        assert block.first == len(lines) + 1
        lines += block.lines
    return lines, source.problem


@pytest.mark.parametrize("compression", COMPRESS)
def test_lines_of_compressed_files_are_complete_and_too_long_lines_are_dropped(
    compression: str, tmp_path: Path
) -> None:
    rows = [b"line %d" % n * 9 for n in range(40_000)]
    rows[20_000] = b"x" * 10_000_000
    rows[30_000] = b"y" * (MAX_LINE + 1)
    rows[-1] = b"the last, without its end"
    path = tmp_path / "log"
    path.write_bytes(COMPRESS[compression](b"\n".join(rows)))
    lines, problem = read(path)
    assert problem == "" and len(lines) == len(rows)
    assert [at for at, line in enumerate(lines) if line is None] == [20_000, 30_000]
    assert all(a == b for a, b in zip(lines, rows, strict=True) if a is not None)


@pytest.mark.parametrize("compression", ["gzip", "zstd"])
def test_a_truncated_compressed_file_yields_its_complete_lines_and_a_note(
    compression: str, tmp_path: Path
) -> None:
    rows = b"\n".join(json.dumps([n, n * 7919 % 104729]).encode() for n in range(200_000))
    compressed = COMPRESS[compression](rows)
    path = tmp_path / "log"
    for data in (
        compressed[: len(compressed) // 2],
        compressed[:-3],
        compressed[:9],
        compressed[:500] + b"\0" * 99 + compressed[600:],
    ):
        path.write_bytes(data)
        lines, problem = read(path)
        assert "ends in the middle or is damaged" in problem
        assert lines[:-1] == rows.split(b"\n")[: max(0, len(lines) - 1)] or data[500:510] == b"\0" * 10
    with pytest.raises(SourceError, match="No such file"):
        read(tmp_path / "none")
    with pytest.raises(SourceError, match="Is a directory"):
        read(tmp_path)
