"""Adapter to the users' platform: its names, formats and calls.

The package converts the platform's calls and documents to the types of the
tier and contains no decision logic.
"""
