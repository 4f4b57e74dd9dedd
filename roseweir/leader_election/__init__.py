"""Election of one leader at a time: a lease in the key-value store, and terms that only rise."""
