"""Stand-in: a fake backend server for tests and the demonstration."""
