"""Adapter to the users' platform: its names, formats and calls.

It decodes what the platform says into the product's types and decides nothing.
"""
