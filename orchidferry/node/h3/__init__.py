"""HTTP/3 (RFC 9114) towards clients and servers, over aioquic. Imported only where HTTP/3 is enabled."""
