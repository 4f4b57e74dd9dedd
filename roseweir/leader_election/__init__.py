"""Election of one leader at a time: a lease in the key-value store, and a term number that each election increments."""
