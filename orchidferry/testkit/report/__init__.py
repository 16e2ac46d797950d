"""What a run is shown as: terminal, JSON, a page."""
