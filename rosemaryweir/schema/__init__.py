"""JSON Schemas, the records generated from them, and their validation."""
