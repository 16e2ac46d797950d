"""The control plane: controllers' replicated state, and how nodes hear of it."""
