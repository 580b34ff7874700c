"""The platform's object API over HTTP."""
