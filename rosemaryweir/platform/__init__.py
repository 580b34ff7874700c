"""The VM program for the users' platform, and all code for its protocol.

Names of the platform's protocol are decoded here, once, into the records of
the other packages; no module outside this folder uses them.
"""
