"""Who is served: by team and class what was accepted, started, done and stands waiting, through every take-over."""
