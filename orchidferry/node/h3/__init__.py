"""HTTP/3 (RFC 9114) for callers and servers, over aioquic. Imported only where it is switched on."""
