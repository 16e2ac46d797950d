"""The control channel: versioned configuration from a control service. Imported only if it is enabled."""
