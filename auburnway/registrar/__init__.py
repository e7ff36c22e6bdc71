"""Control process of the pass-through tier.

It agrees on whole configurations and collects what backend servers say of
themselves, and pushes both to the entries.
"""
