"""Control process of the pass-through tier.

The control instances agree on whole configurations by consensus and collect
the heartbeats of backend servers. They push both to the entries.
"""
