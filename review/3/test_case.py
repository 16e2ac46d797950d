"""Case 3 as a test; it needs `target/deps` of the deploy file's build, and some minutes at most."""

import subprocess
from pathlib import Path


def test_requests_on_kept_connections_are_answered() -> None:
    """A request is answered after one with a body over 64 KiB on its connection."""
    script = Path(__file__).resolve().parent / "run.sh"
    assert subprocess.run([script], check=False, timeout=180).returncode == 0
