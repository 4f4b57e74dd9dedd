"""`forecast draw` and `forecast compare`: generate load, and replay recorded load under each scaling policy.

Controllers must not import these modules, which need the libraries of `requirements-forecast.txt`.
"""
