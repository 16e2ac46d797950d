"""A controller's disk: the store, its check at the start, snapshots out and back."""
