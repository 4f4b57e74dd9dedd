; Renting ahead of demand, switched on with its defaults. Name this file by --tuning or ROSEWEIR_TUNING.
; docs/forecast.md explains each setting; forms that are left out keep their defaults.
(renting-ahead
  (slot 300)              ; seconds: demand is counted and expected in slots of this length
  (weeks 8)               ; of history kept
  (least-weeks 3)         ; with fewer of them known there is no forecast
  (fade 0.8)              ; what a week counts against the one after it
  (wait-cost 4)           ; what a missing unit costs ...
  (idle-cost 1)           ; ... against one too many: the quantile is 4 / (4 + 1)
  (peak-most 1.5)         ; times a slot's mean: beyond that a peak is too brief to hold machines for
  (known-share 0.75)      ; of a slot that must have been watched for its count to mean anything
  (level-window 1200)     ; seconds of the present that tell how far today is from usual
  (level-most 1.5)        ; and by how much that may raise the forecast
  (absent-after 600)      ; seconds without demand that should have come, until what was held goes back
  (machines-most 50)      ; held idle or being rented ahead, all together
  (money-most 100)        ; what these may cost an hour
  (guest-share 0.1)       ; of the other teams' demand, for teams without a guarantee
  (series-most 48))       ; of classes and teams told apart

(calendar
  (time-zone "America/Toronto")
  (holiday "01-01" "06-24" "07-01" "12-25")   ; every year
  (holiday "2026-09-07")                      ; this year
  (event (name "year's end filing") (from "2026-12-30T09:00") (to "2026-12-30T19:00") (factor 1.8)))
