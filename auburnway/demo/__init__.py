"""Demonstration: runs a scaled-down site on one machine."""
