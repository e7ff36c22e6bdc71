"""Control process: replicates its state by Raft and serves it over gRPC."""
