"""One leader at a time: a lease in the state service, and a term that only rises."""
