"""Proofs of the promises with real processes, killed and frozen."""
