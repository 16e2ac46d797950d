"""Case 3 as a test; it needs `target/deps` of the deploy file's build, and some minutes at most."""

import subprocess
from pathlib import Path


def test_repeats_of_a_key_get_its_first_answer() -> None:
    """Repeats of a key get its first answer, also where that is long."""
    script = Path(__file__).resolve().parent / "run.sh"
    assert subprocess.run([script], check=False, timeout=180).returncode == 0
