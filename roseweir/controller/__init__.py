"""The process of one controller: its listeners and APIs, and the term of a leader."""
