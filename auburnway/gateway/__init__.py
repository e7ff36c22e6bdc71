"""Entry process of the pass-through tier: an HTTP proxy for many shards."""
