"""Entry process of the pass-through tier: HTTP requests over many shards."""
