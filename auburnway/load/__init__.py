"""Open-loop load generator, benchmarks and capacity measurements."""
