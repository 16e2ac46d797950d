"""A control service for rehearsals and tests: a stand-in from xDS's public specification."""
