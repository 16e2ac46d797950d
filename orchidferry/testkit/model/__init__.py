"""Simulations in virtual time: many nodes that run the production modules, without network I/O."""
