"""Configuration: release notes, spread and fence."""
