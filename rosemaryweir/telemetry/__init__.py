"""Log events, metrics, histograms."""
