"""Randomized soak of the pass-through programs under faults from outside."""
