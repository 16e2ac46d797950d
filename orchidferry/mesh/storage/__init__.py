"""A controller's durable storage: the store, its check at startup, and snapshots."""
