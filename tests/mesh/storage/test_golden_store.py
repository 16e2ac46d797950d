"""The format of data on disk does not change: golden stores and a golden snapshot of store format 3.

`golden_store.mdb.gz` is the store of one of three founders, with all kinds of records; `golden.snapshot` is a
snapshot of it. `golden_lone_store.mdb.gz` is the store of a controller that was alone in its group and
accepted two configurations. `golden_records.json` holds the records of both stores, and those of the store
that is restored from the snapshot. The tests use the command line where possible, so that renaming Python
code does not affect them.
"""

from __future__ import annotations

import asyncio
import gzip
import hashlib
import io
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
import zlib
from pathlib import Path
from typing import Any

import cbor2
import lmdb
import pytest

from orchidferry.mesh.control import order_records, shard_state_codec
from orchidferry.mesh.control.operation_keys import KeyRecord
from orchidferry.mesh.storage.record_format import pack, unpack
from orchidferry.mesh.storage.store import Store

HERE = Path(__file__).parent
ROOT = HERE.parents[2]
COMMAND = (sys.executable, "-m", "orchidferry", "controller")
GOLDEN: dict[str, Any] = json.loads((HERE / "golden_records.json").read_text("utf-8"))
CONFIGURATION = GOLDEN["configuration"].encode()
CHECKSUM_BYTES = 4
FOUNDERS = ("--founders", "10.0.0.1,10.0.0.2,10.0.0.9", "--majority-is-gone")
SEAL = b"seal"  # key of the record with the number of the last transaction, which may differ
BOOT = """own_node = {{ node_name = "n", ip = "{ip}", zone = "z", first_start = true, data_dir = "store" }}
network = {{ internal_ports = [{port}], seed_nodes = ["{ip}:{port}"], listen_points = {{ control = "{ip}:{control}" }} }}
term_settings = {{ tolerance = {{ machines = {machines} }} }}
"""  # noqa: E501
CHECKED = """n:  in z, settings can be used
store: format 3, 20480 bytes used of 32768
shard 0: disk id 1, caught up, accepted version 12, epoch 3, revision 7, owner 10.0.0.2, fencing token 4, \
voters 10.0.0.1 10.0.0.2 10.0.0.4
shard 1: disk id 1, caught up, accepted version 2, epoch 0, revision 0, owner 10.0.0.3, fencing token 1, \
voters 10.0.0.1 10.0.0.2 10.0.0.3
shard 2: disk id 9007199254740991, not caught up, accepted nothing yet
shard 3: disk id 1, caught up, accepted nothing yet
founders: 10.0.0.1 10.0.0.2 10.0.0.3
keys: 4
"""
CHECKED_LONE = """n:  in z, settings can be used
store: format 3, 16384 bytes used of 45056
shard 0: disk id 1, caught up, accepted version 2, epoch 0, revision 7, owner none, fencing token 0, \
voters 127.0.0.1
shard 1: disk id 1, caught up, accepted nothing yet
shard 2: disk id 1, caught up, accepted nothing yet
shard 3: disk id 1, caught up, accepted nothing yet
founders: 127.0.0.1
keys: 0
"""
RESTORED_SHARDS = """\
shard 0: disk id 2544245270616421, caught up, accepted version 4294967308, epoch 1048579, revision 7, \
owner none, fencing token 1048580, voters 10.0.0.1 10.0.0.2 10.0.0.9
shard 1: disk id 2544245270616421, caught up, accepted version 4294967298, epoch 1048576, revision 0, \
owner none, fencing token 1048577, voters 10.0.0.1 10.0.0.2 10.0.0.9
shard 2: disk id 2544245270616421, caught up, accepted version 4294967296, epoch 1048576, revision 0, \
owner none, fencing token 1048576, voters 10.0.0.1 10.0.0.2 10.0.0.9
shard 3: disk id 2544245270616421, caught up, accepted version 4294967296, epoch 1048576, revision 0, \
owner none, fencing token 1048576, voters 10.0.0.1 10.0.0.2 10.0.0.9
founders: 10.0.0.1 10.0.0.2 10.0.0.9
keys: 4
"""

Records = dict[str, dict[bytes, bytes]]  # by database name and record key


def golden(name: str) -> Records:
    """Return the records of a golden store as they are on disk."""
    return {
        database: {bytes.fromhex(key): bytes.fromhex(raw) for key, raw in rows.items()}
        for database, rows in GOLDEN[name].items()
    }


def on_disk(folder: Path) -> Records:
    """Read the records of a store with LMDB alone."""
    environment = lmdb.open(str(folder), max_dbs=4, lock=False, readonly=True)
    records: Records = {}
    try:
        with environment.begin() as transaction:
            names = [bytes(name) for name, _ in transaction.cursor()]
        for name in names:
            database = environment.open_db(name, create=False)
            with environment.begin(db=database) as transaction:
                records[name.decode()] = {bytes(key): bytes(raw) for key, raw in transaction.cursor()}
    finally:
        environment.close()
    return records


def without_seal(records: Records) -> Records:
    """Return all records but the number of the last transaction."""
    return {name: {key: raw for key, raw in rows.items() if key != SEAL} for name, rows in records.items()}


def copy_store(name: str, folder: Path) -> Path:
    """Copy a golden store to `folder`/store; return that directory."""
    store = folder / "store"
    store.mkdir()
    (store / "data.mdb").write_bytes(gzip.decompress((HERE / name).read_bytes()))
    return store


def environment_of(
    folder: Path, ip: str = "10.0.0.1", port: int = 1, control: int = 9, machines: int = 1
) -> dict[str, str]:
    """Write the settings of a controller with its store in `folder`/store; return its environment."""
    settings = folder / "boot.toml"
    settings.write_text(BOOT.format(ip=ip, port=port, control=control, machines=machines))
    return {**os.environ, "ORCHIDFERRY_BOOT": str(settings), "PYTHONPATH": str(ROOT)}


def run(folder: Path, *arguments: str) -> tuple[int, str, str]:
    """Run `orchidferry controller` in a folder; return exit status, standard output and standard error."""
    process = subprocess.run(
        [*COMMAND, *arguments],
        cwd=folder,
        env=environment_of(folder),
        capture_output=True,
        text=True,
        timeout=30,
    )
    return process.returncode, process.stdout, process.stderr


@pytest.mark.parametrize(
    ("file", "name"), [("golden_store.mdb.gz", "store"), ("golden_lone_store.mdb.gz", "lone")]
)
def test_the_golden_files_have_the_golden_records(tmp_path: Path, file: str, name: str) -> None:
    assert on_disk(copy_store(file, tmp_path)) == golden(name)


@pytest.mark.parametrize(
    ("file", "output"), [("golden_store.mdb.gz", CHECKED), ("golden_lone_store.mdb.gz", CHECKED_LONE)]
)
def test_the_check_prints_the_contents_of_a_golden_store(tmp_path: Path, file: str, output: str) -> None:
    store = copy_store(file, tmp_path)
    before = (store / "data.mdb").read_bytes()
    assert run(tmp_path, "--check") == (0, output, "")
    assert (store / "data.mdb").read_bytes() == before


def test_the_check_reports_a_wrong_checksum(tmp_path: Path) -> None:
    store = copy_store("golden_store.mdb.gz", tmp_path)
    file = store / "data.mdb"
    raw = golden("store")["slips"][b"first"]
    damaged = file.read_bytes().replace(raw, raw[:-1] + b"\xf5")
    file.write_bytes(damaged)
    line = "orchidferry: store: record b'first' in database slips has a wrong checksum\n"
    assert run(tmp_path, "--check") == (2, "n:  in z, settings can be used\n", line)


def test_the_store_reads_the_golden_values(tmp_path: Path) -> None:
    folder = copy_store("golden_store.mdb.gz", tmp_path)

    async def read() -> dict[str, dict[bytes, bytes]]:
        store = Store(str(folder), asyncio.get_running_loop())
        try:
            assert store.read("about", b"nothing of the sort") is None
            assert store.read("about", b"caught/0") == b"1"
            return {name: dict(store.read_all(name)) for name in ("about", "slips")}
        finally:
            store.close()

    records = asyncio.run(read())
    values = {
        name: {key: raw[CHECKSUM_BYTES:] for key, raw in rows.items()}
        for name, rows in golden("store").items()
    }
    assert records == values
    assert unpack(records["about"][b"founders"]) == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    assert unpack(records["slips"]["sécond".encode("latin-1")]) == [
        "10.0.0.2 9 4",
        18,
        [200, [["content-type", "text/plain"]], b"done"],
    ]


def rewritten(database: str, key: bytes, value: bytes) -> tuple[str, bytes, bytes | None]:
    """Decode a record to the current types, and encode it again."""
    if database == "slips":
        return database, key, pack(KeyRecord(*unpack(value)).packed())
    if key.startswith(b"kept/"):
        return (
            database,
            key,
            pack(
                shard_state_codec.pack_acceptor_state(shard_state_codec.unpack_acceptor_state(unpack(value)))
            ),
        )
    if key.startswith(b"order/"):
        ((number, entry),) = order_records.orders_of(0, [(key, value)])
        return order_records.record(0, number, entry)
    return database, key, pack(unpack(value))


def test_writing_the_golden_values_produces_the_golden_records(tmp_path: Path) -> None:
    """The comparison includes checksums, the format number and the names of the databases."""
    records = golden("store")
    writes = [
        rewritten(name, key, raw[CHECKSUM_BYTES:])
        for name, rows in records.items()
        for key, raw in rows.items()
        if key not in (SEAL, b"format")
    ]

    async def write() -> None:
        loop = asyncio.get_running_loop()
        written = loop.create_future()
        store = Store(str(tmp_path), loop)
        store.write(writes, written.set_result)
        assert await written
        store.close()

    asyncio.run(write())
    assert without_seal(on_disk(tmp_path)) == without_seal(records)


# Snapshots


def items(raw: bytes) -> list[Any]:
    """Return the CBOR items of a snapshot."""
    stream = io.BytesIO(raw)
    records = []
    while stream.tell() < len(raw):
        records.append(cbor2.load(stream))
    return records


def as_snapshot(parts: list[Any]) -> bytes:
    """Encode items as a snapshot, with their digest at the end."""
    raw = b"".join(map(cbor2.dumps, parts))
    return raw + cbor2.dumps(hashlib.sha256(raw).digest())


def test_a_snapshot_of_the_golden_store_equals_the_golden_snapshot(tmp_path: Path) -> None:
    """The random nonce differs, and so does the digest, which depends on it."""
    copy_store("golden_store.mdb.gz", tmp_path)
    status, out, err = run(tmp_path, "snapshot", "take", "taken")
    taken = (tmp_path / "taken").read_bytes()
    parts = items(taken)
    expected = items((HERE / "golden.snapshot").read_bytes())
    assert len(parts[0][2]) == len(expected[0][2]) == 16
    parts[0][2] = expected[0][2]
    assert parts[:-1] == expected[:-1] and as_snapshot(parts[:-1]) == (HERE / "golden.snapshot").read_bytes()
    digest = items(taken)[-1].hex()
    line = f"taken: revision 7, shard versions [12, 2, 0, 0], 4 keys, digest {digest[:16]}\n"
    assert (status, out, err) == (0, line, "")


def test_restoring_the_golden_snapshot_produces_the_golden_records(tmp_path: Path) -> None:
    shutil.copy(HERE / "golden.snapshot", tmp_path)
    line = "store: revision 7, shard versions [12, 2, 0, 0], 4 keys; disk id 2544245270616421, "
    line += "must be the same on all of 10.0.0.1 10.0.0.2 10.0.0.9\n"
    assert run(tmp_path, "snapshot", "put", "golden.snapshot", *FOUNDERS) == (0, line, "")
    assert without_seal(on_disk(tmp_path / "store")) == without_seal(golden("restored"))
    status, out, err = run(tmp_path, "--check")
    assert (status, err) == (0, "") and out.partition("shard 0")[2] == RESTORED_SHARDS.removeprefix("shard 0")
    refused = "orchidferry: store: the directory is not empty, it contains 'data.mdb'\n"
    assert run(tmp_path, "snapshot", "put", "golden.snapshot", *FOUNDERS) == (2, "", refused)


@pytest.mark.parametrize(
    ("change", "line"),
    [
        pytest.param({1: 1}, "", id="format 1"),
        pytest.param({1: 3}, "snapshot format 3 is not known here", id="format of a later build"),
        pytest.param({0: "another snapshot"}, "not a snapshot", id="another kind of file"),
        pytest.param(
            {3: 3}, "the snapshot has more operation keys than its header says", id="a key too many"
        ),
    ],
)
def test_the_header_of_a_snapshot_is_checked(tmp_path: Path, change: dict[int, Any], line: str) -> None:
    parts = items((HERE / "golden.snapshot").read_bytes())[:-1]
    for place, value in change.items():
        parts[0][place] = value
    (tmp_path / "changed").write_bytes(as_snapshot(parts))
    status, _, err = run(tmp_path, "snapshot", "put", "changed", *FOUNDERS)
    assert (status, err) == ((2, f"orchidferry: changed: {line}\n") if line else (0, ""))
    assert (tmp_path / "store").exists() != bool(line)


# The process of a controller that is alone in its group


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class LoneController:
    """The process of a controller that is alone in its group."""

    def __init__(self, folder: Path) -> None:
        self._control = free_port()
        environment = environment_of(folder, "127.0.0.1", free_port(), self._control, machines=0)
        self._log = (folder / "log").open("wb")
        self._process = subprocess.Popen([*COMMAND], cwd=folder, env=environment, stderr=self._log)

    def __enter__(self) -> LoneController:
        return self

    def __exit__(self, *_: object) -> None:
        self._process.send_signal(signal.SIGTERM)
        try:
            status = self._process.wait(20)
        finally:
            self._process.kill()
            self._log.close()
        assert status == 0

    def call(self, method: str, body: bytes | None = None, **headers: str) -> tuple[int, bytes]:
        """Call the control API for the configuration; retry until the controller is ready."""
        url = f"http://127.0.0.1:{self._control}/orchidferry/configuration"
        deadline = time.monotonic() + 15.0
        while True:
            request = urllib.request.Request(url, body, headers, method=method)
            try:
                with urllib.request.urlopen(request, timeout=5.0) as response:
                    return int(response.status), response.read()
            except urllib.error.HTTPError as error:
                if error.code != 503 or time.monotonic() > deadline:
                    return error.code, error.read()
            except OSError:
                if time.monotonic() > deadline:
                    raise
            time.sleep(0.05)  # between two attempts


def test_a_controller_serves_the_configuration_of_the_golden_store(tmp_path: Path) -> None:
    store = copy_store("golden_lone_store.mdb.gz", tmp_path)
    with LoneController(tmp_path) as controller:
        assert controller.call("GET") == (200, CONFIGURATION)
        again = controller.call("PUT", CONFIGURATION, **{"If-Match": "1"})
        assert again == (200, b'{"revision_number": 7}')
        assert controller.call("PUT", CONFIGURATION, **{"If-Match": "2"})[0] == 412
    assert sorted(os.listdir(store)) == ["data.mdb", "lock"]


def order(text: bytes, base: int) -> bytes:
    """Encode the record of a committed order: its digest, and the number of the order that it builds on."""
    return hashlib.sha256(text).digest()[:16] + base.to_bytes(8, "big")


def stable_records(records: Records) -> dict[bytes, Any]:
    """Return a lone controller's own records without the values that depend on when it was stopped.

    These are the ballots, the owner of each shard with its version and fencing token, and which orders have a
    record already.
    """
    stable: dict[bytes, Any] = {}
    for key, raw in records["about"].items():
        if key.startswith(b"kept/"):
            disk_id, promised, accepted, state = cbor2.loads(raw[CHECKSUM_BYTES:])
            for number, name in (promised, accepted):
                assert isinstance(number, int) and (name.startswith("127.0.0.1") if number else not name)
            stable[key] = disk_id
            if key == b"kept/0":
                _, voters, epoch, revision, text, orders, former, _, _ = state
                stable[key] = (disk_id, voters, epoch, revision, zlib.decompress(text), orders, former)
        elif not key.startswith(b"order/"):
            stable[key] = raw
    return stable


def test_a_new_controller_writes_the_golden_records(tmp_path: Path) -> None:
    first = CONFIGURATION.replace(b'"revision_number":7', b'"revision_number":1')
    with LoneController(tmp_path) as controller:
        assert controller.call("PUT", first, **{"If-Match": "0"}) == (200, b'{"revision_number": 1}')
        assert controller.call("PUT", CONFIGURATION, **{"If-Match": "1"}) == (200, b'{"revision_number": 7}')
    found = without_seal(on_disk(tmp_path / "store"))
    expected = without_seal(golden("lone"))
    assert stable_records(found) == stable_records(expected) and found["slips"] == expected["slips"] == {}
    orders = {b"order/0/%016d" % 1: order(first, 0), b"order/0/%016d" % 7: order(CONFIGURATION, 1)}
    for records in (found, expected):
        written = {key: raw[CHECKSUM_BYTES:] for key, raw in records["about"].items() if key in orders}
        assert written.items() <= orders.items()
        assert [key for key in records["about"] if key.startswith(b"order/")] == list(written)
