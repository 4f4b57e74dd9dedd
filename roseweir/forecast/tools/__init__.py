"""`forecast draw` and `forecast compare`: what renting ahead would have done to recorded load.

Not for controllers: these modules load the libraries of `requirements-forecast.txt`.
"""
