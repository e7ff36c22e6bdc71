"""Randomized soak test of the pass-through programs with injected faults."""
