"""Models in virtual time: many nodes, with the modules that the real ones run. No I/O."""
