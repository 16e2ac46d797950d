"""Compatibility of stored and transmitted formats of the node and the kit, byte for byte.

`golden_formats.json`, `golden.recording` and `golden_wire_*.jsonl.gz` were written before modules were
renamed. Settings and the command line are checked in `test_golden_settings`, formats of the mesh in
`tests/mesh`.
"""

from __future__ import annotations

import dataclasses
import gzip
import hashlib
import json
import os
import struct
import subprocess
import sys
from pathlib import Path
from typing import Any, get_args

import pytest
from backports import zstd

from orchidferry.node.control.store import FORM as LAST_GOOD
from orchidferry.node.fleet import wire as fleet_wire
from orchidferry.node.fleet.saved_state import STATE_FORMAT as FLEET_STATE
from orchidferry.node.state_store import StateFileError
from orchidferry.testkit import record
from orchidferry.testkit.judge import verdict_json
from orchidferry.testkit.judge.mesh import verdict as mesh_verdict
from orchidferry.testkit.judge.mesh import verdict_json as mesh_verdict_json
from orchidferry.testkit.mesh import facts as mesh_facts
from orchidferry.testkit.traffic import recording
from tests.testkit.judge import test_mesh as mesh_runs
from tests.testkit.judge import test_verdict as runs

HERE = Path(__file__).parent
ROOT = HERE.parents[1]
GOLDEN: dict[str, Any] = json.loads((HERE / "golden_formats.json").read_text("utf-8"))
STATE_FORMATS: dict[str, Any] = {"last_good": LAST_GOOD, "fleet_state": FLEET_STATE}
STATE_FILE_NAMES = {"last_good": "last-good", "fleet_state": "fleet"}
# Keys of the fleet: name and secret.
OLD_KEY = ("old", b"o" * 32)
NEW_KEY = ("new", b"n" * 32)


# State on disk


@pytest.mark.parametrize("name", STATE_FORMATS)
def test_state_on_disk_is_read_and_written_the_same(name: str) -> None:
    state_format = STATE_FORMATS[name]
    data = GOLDEN[name].encode()
    assert state_format.file_name == STATE_FILE_NAMES[name]
    assert state_format.encode(state_format.decode(data)) == data


@pytest.mark.parametrize("name", STATE_FORMATS)
@pytest.mark.parametrize(
    ("old", "new", "kind"),
    [(b"orchidferry", b"orchid", "foreign"), (b" 1\n", b" 2\n", "future"), (b'":', b'";', "corrupt")],
)
def test_state_with_invalid_content_is_refused(name: str, old: bytes, new: bytes, kind: str) -> None:
    with pytest.raises(StateFileError) as refusal:
        STATE_FORMATS[name].decode(GOLDEN[name].encode().replace(old, new, 1))
    assert refusal.value.kind == kind


@pytest.mark.parametrize("name", STATE_FORMATS)
def test_truncated_state_is_refused(name: str) -> None:
    with pytest.raises(StateFileError) as refusal:
        STATE_FORMATS[name].decode(GOLDEN[name].encode()[:-1])
    assert refusal.value.kind == "truncated"


# The fleet's datagrams


@pytest.mark.parametrize("datagram", GOLDEN["fleet_messages"])
def test_a_datagram_of_the_fleet_is_read_and_written_the_same(datagram: str) -> None:
    data = bytes.fromhex(datagram)
    sealer = fleet_wire.Sealer((NEW_KEY, OLD_KEY))
    body, _ = sealer.open(data)
    assert sealer.seal(fleet_wire.encode(fleet_wire.decode(body))) == data


def test_datagrams_sealed_with_either_key_are_accepted() -> None:
    data = bytes.fromhex(GOLDEN["fleet_old_key"])
    body, key = fleet_wire.Sealer((NEW_KEY, OLD_KEY)).open(data)
    assert fleet_wire.Sealer((NEW_KEY, OLD_KEY)).seal(body, key) == data
    assert fleet_wire.Sealer((OLD_KEY, NEW_KEY)).seal(body) == data


def test_a_changed_datagram_or_one_with_an_unknown_key_is_refused() -> None:
    data = bytes.fromhex(GOLDEN["fleet_messages"][0])
    for keys, changed, kind in (
        ((OLD_KEY,), data, "forged"),
        ((NEW_KEY,), data[:-1] + bytes([data[-1] ^ 1]), "forged"),
        ((NEW_KEY,), b"\0" + data[1:], "foreign"),
        ((NEW_KEY,), data[:22], "foreign"),
    ):
        with pytest.raises(fleet_wire.DatagramError) as refusal:
            fleet_wire.Sealer(keys).open(changed)
        assert refusal.value.kind == kind


# Recordings of traffic


def decompressed(path: Path) -> bytes:
    """Return the uncompressed recording, as the compressed bytes depend on the library's version."""
    return zstd.decompress(path.read_bytes())


def test_a_recording_is_read_and_written_the_same(tmp_path: Path) -> None:
    reader = recording.Reader(HERE / "golden.recording")
    blocks = list(reader.blocks())
    assert [list(row) for block in blocks for row in block.tolist()] == GOLDEN["recording_rows"]
    writer = recording.Writer(tmp_path / "again", reader.header)
    for block in blocks:
        writer.put(block)
    writer.close()
    assert decompressed(tmp_path / "again") == decompressed(HERE / "golden.recording")


def test_the_layout_of_a_recording_is_unchanged() -> None:
    """Parse without the reader: magic, header, rows of 46 bytes, an end row, a checksum of the rows."""
    magic, header, rest = decompressed(HERE / "golden.recording").split(b"\n", 2)
    assert magic == b"orchidferry recording 1"
    assert list(json.loads(header)) == ["classes", "rows", "seconds", "began", "window_s", "notes"]
    rows = rest[:230]
    end = rest[230:276]
    tail = rest[276:]
    assert end == b"\xff" * 8 + bytes(38)
    assert tail == b"end %b 5\n" % hashlib.blake2b(rows, digest_size=32).hexdigest().encode()
    assert [list(row) for row in struct.iter_unpack("<3Q4I2H2B", rows)] == GOLDEN["recording_rows"]


# Wire protocol of the simulator


def wire_host(text: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONHASHSEED": "0"}
    return subprocess.run(
        [sys.executable, "-m", "orchidferry.balancing.wirehost"],
        input=text,
        capture_output=True,
        text=True,
        env=environment,
        timeout=30,
    )


def test_the_wire_host_answers_golden_input_the_same() -> None:
    input_text, expected = (
        gzip.decompress((HERE / f"golden_wire_{name}.jsonl.gz").read_bytes()).decode()
        for name in ("input", "output")
    )
    completed = wire_host(input_text)
    assert (completed.returncode, completed.stderr) == (0, "")
    for number, pair in enumerate(zip(completed.stdout.splitlines(), expected.splitlines(), strict=True)):
        assert pair[0] == pair[1], f"line {number}"
    assert completed.stdout == expected


@pytest.mark.parametrize(
    ("line", "error"),
    [
        ("[]", "a batch must be an object, not []"),
        ("{}", "'ts_ms' is missing"),
        (
            '{"ts_ms":1,"round":1,"items":[{"kind":"JobIn","node":"n"}]}',
            "items[0] ('JobIn'): node 'n' is not running",
        ),
        (
            '{"ts_ms":1,"round":1,"items":[{"kind":"Launch","node":"n"}]}',
            "items[0] ('Launch'): 'env' is missing",
        ),
    ],
)
def test_the_wire_host_exits_at_an_invalid_line(line: str, error: str) -> None:
    good = '{"ts_ms":1,"round":7,"items":[]}'
    completed = wire_host(f"{good}\n{line}\n")
    assert (completed.returncode, completed.stdout) == (2, '{"round":7,"actions":[]}\n')
    assert completed.stderr == f"orchidferry: input line 2: {error}\n"


# Records and verdicts of rehearsals


def test_facts_of_a_rehearsal_are_read_and_written_the_same() -> None:
    lines = GOLDEN["facts"]
    found = record.read_facts([line + "\n" for line in lines], "golden")
    assert [record.encode_fact(fact) for fact in found] == lines
    assert [json.loads(line)[0] for line in lines] == list(record.FACT_KINDS)


def test_facts_of_the_mesh_keep_their_names_in_a_record() -> None:
    """Each line of a record names the kind of its fact and all fields."""
    written = [json.loads(line) for line in mesh_runs.record(mesh_runs.clean()).lines().splitlines()]
    assert len({line["fact"] for line in written}) > 10
    for line in written:
        assert list(line) == ["fact", *GOLDEN["mesh_facts"][line["fact"]]]
    kinds = get_args(mesh_facts.Fact)
    names = {
        mesh_facts.stored_name(kind): [field.name for field in dataclasses.fields(kind)] for kind in kinds
    }
    assert names == GOLDEN["mesh_facts"]


def keys_of(found: Any) -> Any:
    """Return the nested keys of a JSON value; a list gives one item if all have the same keys."""
    if isinstance(found, dict):
        return {key: keys_of(value) for key, value in found.items()}
    if isinstance(found, list):
        inner = [keys_of(item) for item in found if isinstance(item, dict | list)]
        return inner[:1] if all(item == inner[0] for item in inner) else inner
    return None


def test_the_verdict_keeps_its_keys() -> None:
    run = runs.clean()
    run.put(record.Incident(3.0, 5.0, "slow", "a"))
    found = keys_of(verdict_json.as_json(run.judge()))
    assert found == GOLDEN["verdict_keys"] and list(found) == list(GOLDEN["verdict_keys"])


def test_the_verdict_of_the_mesh_keeps_its_keys() -> None:
    found = keys_of(mesh_verdict_json.as_json(mesh_verdict.judge(mesh_runs.record(mesh_runs.clean()))))
    assert found == GOLDEN["mesh_verdict_keys"] and list(found) == list(GOLDEN["mesh_verdict_keys"])
