"""HTTP/3 from outside: real UDP sockets on loopback, the library's stock peers, scripted faults."""
