"""Reports of a run: in the terminal, and as an HTML page."""
