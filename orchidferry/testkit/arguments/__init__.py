"""Arguments of commands whose packages need the kit's libraries, which a request for help must not import."""
