"""Stand-ins: servers, discovery, the front, and the real nodes between them."""
