"""JSON Schemas and the records generated from them."""
