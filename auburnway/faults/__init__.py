"""Fault tests of the documented guarantees, with real and fake processes."""
