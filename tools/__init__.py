"""Developer tools: checks, benchmarks, experiments and capacity measurements."""
