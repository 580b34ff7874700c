"""The platform's pages, as code: all that speaks its protocol.

Its names are decoded here, once, into the records of the packages that
decide; nothing outside this folder knows them.
"""
