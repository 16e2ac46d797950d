"""The command `run` of deploy/balancer.toml under the restrictions of the platform.

The command ends in `exec`, so that it leaves a single process, in which the platform refuses to start
programs, fork, io_uring, splice and sendfile. Here these system calls are refused in the interpreter that the
command starts, by a `sitecustomize` module in its path.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tomllib
from pathlib import Path

import pytest

from tests.node.peers import LIMIT_S, Client, Server, World, request, run, world

ROOT = Path(__file__).parents[2]

# The system calls that the platform refuses, with their numbers on x86-64 and AArch64, as a seccomp filter,
# which also covers the calls that libuv makes. Installing it needs no privileges once PR_SET_NO_NEW_PRIVS is
# set.
SECCOMP_FILTER = r"""
import ctypes, errno, os, platform, struct

CALLS = {"x86_64": {"fork": 57, "vfork": 58, "clone3": 435, "execve": 59, "execveat": 322, "io_uring_setup":
425,                     "sendfile": 40, "splice": 275, "clone": 56},
         "aarch64": {"clone3": 435, "execve": 221, "execveat": 281, "io_uring_setup": 425, "sendfile": 71,
                     "splice": 76, "clone": 220}}[platform.machine()]
ARCH = {"x86_64": 0xC000003E, "aarch64": 0xC00000B7}[platform.machine()]
LOAD, EQUALS, ANY, RETURN = 0x20, 0x15, 0x45, 0x06
ALLOW, ERRNO, THREAD = 0x7FFF0000, 0x00050000, 0x00010000  # CLONE_THREAD

program = [(LOAD, 0, 0, 4), (EQUALS, 1, 0, ARCH), (RETURN, 0, 0, ALLOW), (LOAD, 0, 0, 0)]
for name, number in CALLS.items():
    problem = errno.EINVAL if name == "splice" else errno.ENOSYS
    if name == "clone":  # threads are allowed
        program += [(EQUALS, 0, 3, number), (LOAD, 0, 0, 16), (ANY, 1, 0, THREAD)]
        program.append((RETURN, 0, 0, ERRNO | problem))
    else:
        program += [(EQUALS, 0, 1, number), (RETURN, 0, 0, ERRNO | problem)]
program.append((RETURN, 0, 0, ALLOW))
code = b"".join(struct.pack("HBBI", *one) for one in program)
held = ctypes.create_string_buffer(code)
class Program(ctypes.Structure):
    _fields_ = [("length", ctypes.c_ushort), ("code", ctypes.c_void_p)]
libc = ctypes.CDLL(None, use_errno=True)
given = Program(len(program), ctypes.addressof(held))
if libc.prctl(38, 1, 0, 0, 0) or libc.prctl(22, 2, ctypes.byref(given), 0, 0):
    raise SystemExit("can't install the seccomp filter: " + os.strerror(ctypes.get_errno()))
"""


def lay_out(folder: Path) -> None:
    """Create a directory as `build` leaves it, with the seccomp filter in the interpreter's path."""
    (folder / "orchidferry").symlink_to(ROOT / "orchidferry")
    (folder / ".venv").symlink_to(sys.prefix)
    (folder / "sitecustomize.py").write_text(SECCOMP_FILTER)


def platform_env(folder: Path, scene: World) -> dict[str, str]:
    scene.path.write_text(json.dumps(scene.config))
    keep = {name: value for name, value in os.environ.items() if not name.startswith("ORCHIDFERRY")}
    return keep | {"NODE_CONFIG": str(scene.path), "PYTHONPATH": str(folder), "TMPDIR": str(folder)}


def proc(pid: int, what: str) -> Path:
    return Path(f"/proc/{pid}/{what}")


def open_files(pid: int) -> set[str]:
    """Return the names of all open descriptors of a process; it may close some while they are listed."""
    names = set()
    for descriptor in proc(pid, "fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            names.add(os.readlink(descriptor))
    assert names
    return names


async def started(folder: Path, scene: World) -> asyncio.subprocess.Process:
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", line, cwd=folder, env=platform_env(folder, scene), stderr=asyncio.subprocess.PIPE
    )
    assert process.stderr is not None
    while True:
        text = (await asyncio.wait_for(process.stderr.readline(), LIMIT_S)).decode()
        assert text, "the process ended"
        if "listening on" in text:
            scene.address = "127.0.0.1", int(text.rsplit(":", 1)[1])
            return process


def test_the_command_of_the_deploy_file_serves_with_these_system_calls_refused(tmp_path: Path) -> None:
    async def test() -> None:
        lay_out(tmp_path)
        server = Server()
        async with world(tmp_path, server, start=False) as scene:
            process = await started(tmp_path, scene)
            try:
                client: Client = await scene.client()
                for n, cls in enumerate(("read", "save", "pay")):
                    assert (await client.ask(f"id-{n}", cls)).status == 200
                # Reload the configuration by SIGHUP, as the platform does under load.
                process.send_signal(1)
                client.write(request("after"))
                assert (await client.read()).status == 200
                pid = process.pid
                command = proc(pid, "cmdline").read_bytes().split(b"\0")
                assert command[0].endswith(b"python"), "the shell is still running: no exec"
                tasks = list(proc(pid, "task").iterdir())
                assert all(not (task / "children").read_text() for task in tasks)
                opened = open_files(pid)
                # libuv tries to use io_uring when it starts, and works without it if that is refused.
                assert not any("io_uring" in name for name in opened)
                maps = proc(pid, "maps").read_text()
                assert "/libc.so" in maps or "libc-2." in maps, "not linked against the C library"
            finally:
                process.terminate()
            _, err = await asyncio.wait_for(process.communicate(), LIMIT_S)
            assert process.returncode == 0, err
            assert b"Traceback" not in err

    run(test())


@pytest.mark.parametrize(
    "code",
    [
        "os.fork()",
        "os.posix_spawn('/bin/true', ['true'], {})",
        "os.execv('/bin/true', ['true'])",
        "os.sendfile(1, 0, 0, 1)",
        "os.splice(*os.pipe(), 1) if hasattr(os, 'splice') else os.fork()",
    ],
)
def test_the_system_calls_are_refused(tmp_path: Path, code: str) -> None:
    """Otherwise the test above would pass whatever the node does."""

    async def test() -> None:
        lay_out(tmp_path)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            f"import os, threading; threading.Thread(target=print).start(); {code}",
            cwd=tmp_path,
            env=os.environ | {"PYTHONPATH": str(tmp_path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, err = await asyncio.wait_for(process.communicate(), LIMIT_S)
        assert process.returncode == 1 and (b"Errno 38" in err or b"Errno 22" in err), err

    run(test())
