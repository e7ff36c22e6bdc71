"""A fake backend server for tests and the demonstration."""
