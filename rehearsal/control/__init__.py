"""A control service for rehearsals and tests, and `orchidferry control`."""

from __future__ import annotations

import argparse


def main(args: argparse.Namespace) -> int:
    """Run the command; its exit status."""
    from rehearsal.control import status  # the rest of this package needs gRPC, which asking does not

    return status.main(args)
