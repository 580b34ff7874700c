"""Client of the platform's object store over HTTP."""
