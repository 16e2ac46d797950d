"""Arguments of commands, separate from their packages, so that `--help` imports none of their libraries."""
