"""The data plane: the sidecar proxy of each server, its admission gate and its connections."""
