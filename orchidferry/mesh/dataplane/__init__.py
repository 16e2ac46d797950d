"""The data plane: the proxy beside each server, its admission gate, and its connections."""
