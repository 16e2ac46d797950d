"""The channel to a control service: configuration in versions. Imported only where it is switched on."""
