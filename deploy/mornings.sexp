; Amended lots in the viewer before the next business morning: docs/chains.md, docs/promises.md
(calendar (time-zone "America/Toronto") (holiday "01-01" "06-24" "07-01" "12-25"))
(chain
  (order "lot-boundaries" "lot-reproject" "viewer-tiles")
  (delivery "viewer-tiles")
  (attempts 5)
  (superseded "finish")
  (intake 60 60)
  (keep-days 30))
(promise (by "08:00") (cut-off "05:30") (closed "saturday" "sunday") (margin 1200))
