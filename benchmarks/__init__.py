"""Benchmarks that check figures against bounds and measure baselines."""
